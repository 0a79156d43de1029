package routing

import "time"

// transfer is the time needed to send a response at full pace.
type transfer struct {
	seconds  float64
	known    bool // specific to the request, not the mean of its class
	measured bool // computed from the bytes of this response
}

// hasSize reports whether a transfer time can be computed from the size that came with a request.
func (r *Router) hasSize(request *request) bool {
	return request.SizeKB > 0 && r.settings.TransferKBPerSecond > 0
}

// transferTime returns the result of transferSeconds as a duration.
func (r *Router) transferTime(request *request) time.Duration {
	seconds, _ := r.transferSeconds(request)
	return secondsToDuration(seconds)
}

// transferSeconds returns the transfer time of a request in seconds. If the size of the response is known,
// the transfer time is computed from the size. Otherwise, the result is the learned transfer time of the
// chunk. If none has been learned, the result is the mean of the class, and known is false.
func (r *Router) transferSeconds(request *request) (seconds float64, known bool) {
	if r.hasSize(request) {
		return request.SizeKB / r.settings.TransferKBPerSecond, true
	}
	if least, ok := r.transferTimes.get(request.chunkKey()); ok {
		return least, true
	}
	return *request.meanTransferTime, false
}

// measureTransfer returns the transfer time of a served request. If the outcome reports the bytes of the
// response, the transfer time is computed from the bytes. Otherwise, it is the result of transferSeconds.
func (r *Router) measureTransfer(request *request, outcome *Outcome) transfer {
	hasBodyBytes := outcome.BodyBytes > 0 && r.settings.BodyBytesPerSecond > 0
	if hasBodyBytes && !request.class.Write {
		measured := float64(outcome.BodyBytes) / r.settings.BodyBytesPerSecond
		return transfer{seconds: measured, known: true, measured: true}
	}
	seconds, known := r.transferSeconds(request)
	return transfer{seconds: seconds, known: known}
}

// learnTransferTime stores the transfer time of a chunk if the request came without a size.
func (r *Router) learnTransferTime(request *request, outcome *Outcome, transfer transfer) {
	if r.hasSize(request) {
		return
	}
	seconds := transfer.seconds
	responseSeconds := outcome.Duration.Seconds()
	improved := !transfer.known || responseSeconds < seconds
	if improved && !transfer.measured {
		seconds = responseSeconds
	}
	r.transferTimes.put(request.chunkKey(), seconds)
	fullPace := transfer.measured || outcome.CacheStatus == Hit
	if fullPace || !transfer.known {
		r.learnMeanTransferTime(request, seconds)
	}
}

// learnMeanTransferTime moves the mean of a request's class towards a transfer time in seconds.
func (r *Router) learnMeanTransferTime(request *request, seconds float64) {
	mean := request.meanTransferTime
	*mean += (seconds - *mean) * meanTransferTimeGain
}

// secondsToDuration converts seconds to a duration, rounding towards zero.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
