log {
  level = "warn"
}
dns {
  enabled         = true
  listen          = "127.0.0.1:5354"
  zone            = "example.test."
  patience_ms     = 900
  max_inflight    = 255
  max_connections = 31
}
trace {
  enabled         = true
  folder          = "traces"
  secret          = "salt"
  segment_mb      = 7
  keep_mb         = 255
  undecided_kb    = 4095
  ordinary_per_s  = 3
  retry_within_ms = 4000
  honour_sampled  = false
  peers           = true
  class "video-part" {
    ordinary_per_s = 1.5
    wanted_ms      = 400
  }
  class "form" {}
  collector {
    url        = "http://127.0.0.1:4318/v1/traces"
    queue      = 512
    timeout_ms = 1500
  }
}
fleet {
  enabled                = true
  name                   = "east"
  listen                 = "127.0.0.1:7947"
  advertise              = "127.0.0.1:7948"
  join                   = ["127.0.0.1:7949", "127.0.0.1:7950"]
  keys                   = ["sixteen bytes or more", "sixteen more bytes or so"]
  zone                   = "edge-1"
  probe_ms               = 210
  timeout_ms             = 101
  suspect_ms             = 810
  sync_ms                = 10010
  reach_ms               = 1010
  max_members            = 2049
  packets_per_s          = 510
  bytes_per_s            = 100010
  lately_ms              = 600010
  together_share         = 0.8
  alone_after_silence_ms = 2010
  less_room_after_ms     = 510
  more_room_after_ms     = 5010
}
duties {
  enabled     = true
  electors    = ["n1", "n2", "n3"]
  folder      = "electors"
  lease_ms    = 3010
  margin_ms   = 210
  drift       = 0.02
  retry_ms    = 260
  election_ms = 610
  prober {
    every_ms = 240
    most_ms  = 990
  }
  first_try {
    routers_per_s = 29
  }
  bans {
    every_ms      = 990
    ready_wait_ms = 4990
  }
}
