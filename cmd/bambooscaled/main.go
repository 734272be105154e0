// Command bambooscaled is the daemon of bambooscale.
package main

func main() {}
