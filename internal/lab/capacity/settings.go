package capacity

import "pewterrudder/internal/config"

// limits of a machine with so many descriptors and no second address.
func limits(sockets int) config.Limits { return config.Limits{Sockets: sockets} }
