// Command load is not built yet.
package main

func main() {}
