// Command soak runs the platform's programs under seeded faults and checks what callers and endpoints see.
package main
