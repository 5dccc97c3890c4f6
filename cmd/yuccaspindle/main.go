// Command yuccaspindle is the scheduler's only binary: it runs the daemons, the
// stand-ins, the replay and the operators' commands.
package main

func main() {}
