// Command soak runs the platform's programs under seeded faults and checks what callers and endpoints observe.
package main
