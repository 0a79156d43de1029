package routing

import "time"

// transfer is the time that it takes to send a response at full pace.
type transfer struct {
	seconds  float64
	known    bool // specific to the request, not the mean of its class
	measured bool // computed from the bytes of this response
}

// hasSize reports whether a request came with the size of its object.
func (r *Router) hasSize(request *request) bool {
	return request.SizeKB > 0 && r.settings.TransferKBPerSecond > 0
}

// transferTime returns the result of transferSeconds as a duration.
func (r *Router) transferTime(request *request) time.Duration {
	seconds, _ := r.transferSeconds(request)
	return secondsToDuration(seconds)
}

// transferSeconds returns the transfer time of a request in seconds. It is computed from the size of the
// object, if known; otherwise it is the learned transfer time of the chunk or, if there is none, the
// mean of the class. known is false for the mean.
func (r *Router) transferSeconds(request *request) (seconds float64, known bool) {
	if r.hasSize(request) {
		return request.SizeKB / r.settings.TransferKBPerSecond, true
	}
	if least, ok := r.transferTimes.get(request.chunkKey()); ok {
		return least, true
	}
	return *request.meanTransferTime, false
}

// measureTransfer returns the transfer time of a served request. It is computed from the bytes of the
// response, if reported, and otherwise the result of transferSeconds.
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

// secondsToDuration converts seconds, rounding towards zero.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
