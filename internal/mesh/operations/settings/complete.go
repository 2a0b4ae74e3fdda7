package settings

// Program is one of the programs that read a settings file.
type Program int

// The programs of the mesh.
const (
	Sidecar Program = iota + 1
	ControlPlane
)

// checkAddresses returns an *InvalidError that names the addresses on which a program listens and that are missing, or nil if it has all.
func (s *Settings) checkAddresses(program Program) error {
	required := []requiredAddress{{pathControl, s.ControlAddress}}
	if program == Sidecar {
		required = append(required, requiredAddress{pathOutbound, s.OutboundAddress}, requiredAddress{pathReadiness, s.ReadinessAddress})
	}
	var missing []FieldError
	for _, r := range required {
		if r.address == "" {
			missing = append(missing, FieldError{Path: r.path, Wanted: wantedAddress})
		}
	}
	if len(missing) > 0 {
		return &InvalidError{Fields: missing}
	}
	return nil
}

// requiredAddress is an address that must not be empty, with the path of its field.
type requiredAddress struct{ path, address string }
