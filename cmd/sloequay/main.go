// Command sloequay is a request-routing proxy and a broker between the services of many teams.
package main

import "sloequay/internal/cli"

func main() { cli.Main() }
