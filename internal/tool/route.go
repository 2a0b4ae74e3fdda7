package tool

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"quincegap/internal/config/finding"
	"quincegap/internal/modules/route"
	"quincegap/internal/product"
)

// Request headers that contain the names of the request's class and tenant.
const (
	classHeader  = "X-Lane"
	tenantHeader = "X-Org"
)

// routeCommand returns the command route.
func (c *cli) routeCommand() *cobra.Command {
	var config string
	var headers []string
	var overlay bool
	cmd := &cobra.Command{
		Use: "route --config FILE METHOD URL", Short: "Show which route a request takes, and what holds for it", Args: cobra.ExactArgs(2),
		Long: "route prints the route that a request takes, why each other one does not match or loses, and each value that\n" +
			"holds for the request with the line that sets it. The class is X-Lane's, the tenant X-Org's.\n\n" +
			"    quincegapctl route --config sidecar.toml POST http://front.example.org/trips/7 -H 'X-Lane: book-trip'\n\n" +
			"Exit codes: 0 it would be sent on, 1 it would be turned away or the file has findings, 2 wrong usage.",
		RunE: func(_ *cobra.Command, args []string) error {
			if config == "" {
				return fmt.Errorf("--config: which file?")
			}
			request, err := parseRequest(args[0], args[1], headers)
			if err != nil {
				return err
			}
			var found finding.List
			file := product.Load(config, overlay, &found)
			if found.Len() > 0 || file == nil {
				return c.report(&found)
			}
			return c.explainRoute(file, request)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&config, "config", "", "the file of one application")
	flags.StringArrayVarP(&headers, "header", "H", nil, "a header of the request, \"Name: value\"; may be repeated")
	flags.BoolVar(&overlay, "overlay", false, "the file is used under a platform's configuration, which says who the sidecar is")
	return cmd
}

// parseRequest builds a request from a method, a URL or path, and headers of the form "Name: value". Its errors mean wrong usage.
func parseRequest(method, target string, headers []string) (*route.Request, error) {
	header := http.Header{}
	for _, h := range headers {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return nil, fmt.Errorf("-H %q: write \"Name: value\"", h)
		}
		header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	u, err := url.Parse(target)
	if err != nil {
		return nil, err
	}
	path := u.EscapedPath()
	if u.RawPath == "" && u.Path == "" {
		path = "/"
	}
	return &route.Request{
		Host: u.Host, Path: path, Method: strings.ToUpper(method),
		Class: header.Get(classHeader), Tenant: header.Get(tenantHeader), Header: header,
	}, nil
}
