; An outage of the store lands on a place that starts with nothing: how long until it serves as before, by how its
; clients heed what they are told.
(experiment outage
  (script "../bad-days/outage.sexp")
  (seeds 1 2 3)
  (variant as-is)
  (variant no-second-sends (set dispatcher.second-share 0) (set dispatcher.second-most 0))
  (sweep load.heed 1 0.5 0))
