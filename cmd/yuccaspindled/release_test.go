package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/edge"
)

// Guards against reporting a failed release as a success to the operator.
func TestReleaseCommand(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != edge.ReleasePath || r.FormValue("fingerprint") != "00ab" {
			http.Error(w, "nothing speaks against the request", http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	if err := release(t.Context(), address, "00ab"); err != nil {
		t.Error(err)
	}
	if err := release(t.Context(), address, "00ac"); err == nil || !strings.Contains(err.Error(), "nothing speaks against") {
		t.Errorf("release of an unknown request: error is %v", err)
	}
}
