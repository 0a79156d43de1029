# The operators' file: `garnetline serve --settings deploy/garnetline.hcl`.
# `garnetline check --settings FILE` says whether a file can be used. A block for each
# feature that the platform does not have; the platform's run command names no file, so
# all of them are off there. SIGHUP reads the file again and goes over to it whole, or
# keeps the old one. Unknown keys are refused.

log {
  level = "info"                   # debug, info, warn, error or off; one JSON object a line
}

# The DNS front. A name has the form PART.OBJECT[.gGROUP].CLASS.ZONE, as in
# 3.7f3a9c21e0b4d655.g17.video-part.garnetline.local. A lookups give a box's
# address, SRV lookups its port too. Without gGROUP a purge of any group counts.
# Only a restart can change this block.
dns {
  enabled         = false          # true: listen and answer
  listen          = "127.0.0.1:5353" # UDP and TCP
  zone            = "garnetline.local." # names outside it are REFUSED
  patience_ms     = 1000           # a lookup that could not be placed by then is SERVFAIL
  max_inflight    = 256            # lookups being decided at once; more are SERVFAIL
  max_connections = 32             # TCP connections open at once
}
