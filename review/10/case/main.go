// Command case10 plays case 10 of the second review.
package main

import "garnetline/review/peers"

func main() { peers.Main("slow-changelog") }
