// Command case7 plays case 7 of the second review.
package main

import "garnetline/review/peers"

func main() { peers.Main("hidden-request") }
