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

# Traces of requests, kept in segments that `garnetline trace` reads: docs/tracing.md.
# Only a restart can change enabled, folder, secret, peers and collector.
trace {
  enabled         = false
  folder          = "traces"       # of this router; 0700
  secret          = ""             # the same at all routers: mixed into what names a key or an object
  segment_mb      = 8              # a segment is closed at this size
  keep_mb         = 256            # of all segments; the oldest go first
  undecided_kb    = 4096           # memory for traces whose requests are open or not decided
  ordinary_per_s  = 2              # ordinary traces kept a second, of each class
  retry_within_ms = 5000           # a client that was not served and asks again within it tries again
  peers           = false          # boxes and hubs take two further fields, see docs/tracing.md
  honour_sampled  = true           # what a client samples, by its traceparent, is kept

  # collector {                    # kept traces go there too, as OTLP in JSON over HTTP
  #   url        = "http://127.0.0.1:4318/v1/traces"
  #   queue      = 1024            # traces that wait; more are not sent, and counted
  #   timeout_ms = 2000            # of one call
  # }

  # class "video-part" {
  #   ordinary_per_s = 1           # instead of the above
  #   wanted_ms      = 400         # slower ones are kept; without it, the class's own aim
  # }
}

# Routers that know each other: docs/members.md. SIGHUP changes keys and join; the rest of
# the block needs a restart. Times are in milliseconds.
fleet {
  enabled                = false
  name                   = "garnetline"     # routers of another fleet are not heard
  listen                 = "127.0.0.1:7946" # UDP; port 0: any
  advertise              = ""               # where the others write to; "": where it listens
  join                   = []               # addresses at which others may be; some may be dead
  keys                   = []               # 16 bytes or more each; the first seals, all open
  zone                   = ""               # "": that of the configuration
  probe_ms               = 200              # one router is probed in each
  timeout_ms             = 100              # then others are asked to probe too; half of probe_ms at the most
  suspect_ms             = 800              # shortest time to refute a suspicion; six times as long without others' word
  sync_ms                = 10000            # between exchanges of the view, where views are alike
  reach_ms               = 1000             # between tries at one that failed, or at an address of join
  max_members            = 2048
  packets_per_s          = 500              # bounds of what is sent
  bytes_per_s            = 100000
  lately_ms              = 600000           # one that was there within it counts as one that should be
  together_share         = 0.75             # of those, to be together
  alone_after_silence_ms = 2000             # nobody heard for so long: alone
  less_room_after_ms     = 500              # evidence for a stance with less room
  more_room_after_ms     = 5000             # and for one with more
}

# Duties that one router holds at a time, agreed on by electors: docs/duties.md. Wants the
# fleet block. Only a restart can change it.
duties {
  enabled     = false
  electors    = []                 # names of three or five routers; the register's own list wins
  folder      = ""                 # of an elector's log; "": below the state folder
  lease_ms    = 3000               # a holder that cannot renew stops by itself before its end
  margin_ms   = 200                # given away on each side of a lease
  drift       = 0.01               # share by which the rates of two clocks may differ
  retry_ms    = 250                # a question without an answer is asked again
  election_ms = 600                # without a leader, up to twice as long by chance

  # prober {                       # one router asks the boxes of its location for their load
  #   every_ms = 250               # of one box, while its load changes
  #   most_ms  = 1000              # and where it does not
  # }

  # first_try {                    # one router of a location tries first what was set aside
  #   routers_per_s = 30           # the others come in so fast once it is found well
  # }

  # bans {                         # the register keeps staff's bans, with who, when and why
  #   every_ms      = 1000         # between a router's readings of it
  #   ready_wait_ms = 5000         # one that starts is not ready before it has read it, or so long
  # }
}
