// Command demo is a developer tool; see the Makefile.
package main

func main() {}
