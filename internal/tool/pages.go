package tool

import (
	"fmt"

	"github.com/spf13/cobra"

	"quincegap/internal/product"
)

// sampleCommand returns the command sample.
func (c *cli) sampleCommand() *cobra.Command {
	return &cobra.Command{
		Use: "sample", Short: "Print a file of one application with all keys", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprint(c.out, product.Sample())
			return err
		},
	}
}

// referenceCommand returns the command reference.
func (c *cli) referenceCommand() *cobra.Command {
	return &cobra.Command{
		Use: "reference", Short: "Print the reference page of all keys, in Markdown", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprint(c.out, product.Reference())
			return err
		},
	}
}
