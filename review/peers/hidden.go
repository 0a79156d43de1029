package peers

import (
	"fmt"
	"time"
)

// playHiddenRequest sends a request with both Content-Length and Transfer-Encoding that hides another one in
// its body.
func playHiddenRequest(scene *stage) ([]string, error) {
	around, err := scene.newSite(branchCaches, solutionWork, 0)
	if err != nil {
		return nil, err
	}
	process, err := scene.startRouter("n0", around)
	if err != nil {
		return nil, err
	}
	conn, err := dialClient(process.listen)
	if err != nil {
		return nil, err
	}
	usual := request{id: scene.newID(), class: "solution", object: scene.newID(), key: scene.newKey(), body: "usual", patience: 3 * time.Second}
	lost := scene.exchangeInTurn(0, conn, []request{usual})
	conn.close()
	if text := lostOf(lost); text != nil {
		return nil, fmt.Errorf("the usual request was not answered: %v", text)
	}
	if !scene.trouble {
		return nil, nil
	}
	hidden := request{id: scene.newID(), class: "solution", object: scene.newID(), key: scene.newKey(), body: "hidden", patience: 3 * time.Second}
	outer := scene.newID()
	chunk := hidden.text()
	message := fmt.Sprintf("PUT /v1/solution/%s HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Ttl-Ms: 3000\r\nX-Family: 17\r\nX-Txn-Key: %s\r\n",
		scene.newID(), outer, scene.newKey())
	// By Transfer-Encoding the body is one chunk, the hidden request. By Content-Length it is the line with
	// the size of the chunk, and the hidden request follows as one of its own.
	size := fmt.Sprintf("%x\r\n", len(chunk))
	message += fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding : chunked\r\n\r\n%s%s\r\n0\r\n\r\n", len(size), size, chunk)
	if conn, err = dialClient(process.listen); err != nil {
		return nil, err
	}
	defer conn.close()
	scene.log.printf("bad client: sends %q", message)
	if err := conn.send(message); err != nil {
		return nil, err
	}
	for {
		got, err := conn.receive(time.Now().Add(3 * time.Second))
		if err != nil {
			scene.log.printf("bad client: the connection ends: %v", err)
			break
		}
		scene.log.printf("bad client: answered with %d", got.status)
	}
	return forwarded(around, outer, hidden.id), nil
}

// forwarded returns the requests with the given ids that the caches got.
func forwarded(around *site, outer, hidden string) []string {
	var breaks []string
	for _, server := range around.servers() {
		for _, seen := range server.received() {
			switch seen.id {
			case outer:
				breaks = append(breaks, fmt.Sprintf("cache %s got request %s, which had both Content-Length and Transfer-Encoding", server.name(), seen.id))
			case hidden:
				breaks = append(breaks, fmt.Sprintf("cache %s got request %s, which was hidden in the body of another one", server.name(), seen.id))
			}
		}
	}
	return breaks
}
