# The operators' file: `garnetline serve --settings deploy/garnetline.hcl`.
# `garnetline check --settings FILE` says whether a file can be used. A block for each
# feature that the platform does not have; the platform's run command names no file, so
# all of them are off there. SIGHUP reads the file again and goes over to it whole, or
# keeps the old one. Unknown keys are rejected.

log {
  level = "info"                   # debug, info, warn, error or off; one JSON object a line
}

# The DNS front. A name has the form PART.OBJECT[.gGROUP].CLASS.ZONE, as in
# 3.7f3a9c21e0b4d655.g17.video-part.garnetline.local. A lookups give a server's
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
  undecided_kb    = 4096           # memory for traces of open requests and those without a sampling decision
  ordinary_per_s  = 2              # ordinary traces retained a second, of each class
  retry_within_ms = 5000           # a request of a client that was not served counts as a retry for so long
  peers           = false          # caches and parents take two further fields, see docs/tracing.md
  honour_sampled  = true           # what a client samples, by its traceparent, is retained

  # collector {                    # retained traces go there too, as OTLP in JSON over HTTP
  #   url        = "http://127.0.0.1:4318/v1/traces"
  #   queue      = 1024            # traces that wait; more are not sent, and counted
  #   timeout_ms = 2000            # of one call; doubles after calls that timed out, up to 60000
  # }

  # class "video-part" {
  #   ordinary_per_s = 1           # instead of the above
  #   wanted_ms      = 400         # slower ones are retained; without it, the class's latency objective
  # }
}

# Routers that know each other: docs/members.md. SIGHUP changes keys and join; the rest of
# the block needs a restart. Times are in milliseconds.
fleet {
  enabled                = false
  name                   = "garnetline"     # packets of another fleet are dropped
  listen                 = "127.0.0.1:7946" # UDP; port 0: any
  advertise              = ""               # where the others send to; "": where it listens
  join                   = []               # addresses of other routers; some may be unreachable
  keys                   = []               # 16 bytes or more each; the first encrypts, each decrypts
  zone                   = ""               # "": that of the configuration
  probe_ms               = 200              # one router is probed in each interval
  timeout_ms             = 100              # then others are asked to probe too; half of probe_ms at the most
  suspect_ms             = 800              # shortest time to refute a suspicion; six times as long unless others confirm it
  sync_ms                = 10000            # between exchanges of the view, while views agree
  reach_ms               = 1000             # between attempts to reach a failed router, or an address of join
  max_members            = 2048
  packets_per_s          = 500              # limits of what is sent
  bytes_per_s            = 100000
  lately_ms              = 600000           # a router that was present within it counts as expected
  together_share         = 0.75             # share of those that is present, to be together
  alone_after_silence_ms = 2000             # nothing received for so long: alone
  less_room_after_ms     = 500              # evidence for a state that permits less
  more_room_after_ms     = 5000             # and for one that permits more
}

# Leases that one router holds at a time, agreed on by voters (electors): docs/duties.md. Wants
# the fleet block. Only a restart can change it.
duties {
  enabled     = false
  electors    = []                 # names of three or five voters; the lease registry's own list wins
  folder      = ""                 # of a voter's write-ahead log; "": below the state folder
  lease_ms    = 3000               # duration; a holder that cannot renew stops before it expires
  margin_ms   = 200                # safety margin on each side of a lease
  drift       = 0.01               # ratio by which the rates of two clocks may differ
  retry_ms    = 250                # a request without a response is repeated
  election_ms = 600                # election timeout; up to twice as long at random

  # prober {                       # one router polls the servers of its zone for their load
  #   every_ms = 250               # interval for one server, while its load changes
  #   most_ms  = 1000              # and while it does not
  # }

  # first_try {                    # one router of a zone probes ejected servers first
  #   routers_per_s = 30           # routers that return a second after a successful probe
  # }

  # bans {                         # the lease registry keeps operators' bans, with who, when and why
  #   every_ms      = 1000         # between two reads of the registry
  #   ready_wait_ms = 5000         # a starting router is not ready before its first read, or this time
  # }
}
