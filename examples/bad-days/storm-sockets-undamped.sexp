; An outage at 3,000 calls a second on real sockets: all workers hang for three seconds; clients come again, half heed.
(bad-day storm-sockets-undamped
  (deployment "../storm-sockets-undamped.sexp")
  (seconds 30) (workers 20) (dispatchers 4) (client-processes 4)
  (load (rate 3000) (deferred 0) (zipf 0.9) (retries 6) (heed 0.5))
  (trouble hang (at 10) (for 3) (part 1)))
