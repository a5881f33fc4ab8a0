; All workers hang for a time; then everybody comes again at once, most of them without heed.
(bad-day storm
  (deployment "../outage.sexp")
  (seconds 60) (workers 40) (dispatchers 4)
  (load (rate 1000) (deferred 0) (zipf 0.9) (retries 6) (heed 0.3))
  (trouble hang (at 15) (for 6) (part 1)))
