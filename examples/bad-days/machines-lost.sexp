; Seven dispatchers in three halls, most calls deferred: machines are lost with their disks, one by one, two at once,
; and a whole hall.  Each record is held by two more; between losses there is time to hold it twice again.
(bad-day machines-lost
  (deployment "../copies.sexp")
  (seconds 70) (workers 4) (dispatchers 7)
  (load (rate 40) (deferred 0.8))
  (trouble lose-machines (at 8)  (for 4)  (part 0.14))
  (trouble lose-machines (at 20) (for 4)  (part 0.14))
  (trouble lose-machines (at 32) (for 4)  (part 0.28))
  (trouble lose-machines (at 46) (for 5)  (hall south))
  (trouble lose-machines (at 60) (for 60) (part 0.14)))
