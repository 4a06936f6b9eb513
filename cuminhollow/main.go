// Command cuminhollow is not built yet.
package main

func main() {}
