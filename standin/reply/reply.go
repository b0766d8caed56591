// Package reply writes the JSON responses of the stand-ins and serves documents that
// clients can read and replace, such as the injected faults.
//
// # Usage
//
//	reply.WriteJSON(w, document)
//	router.Handle("/faults", reply.DocumentHandler(store.Faults, store.SetFaults))
package reply

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes is the maximum size of a document.
const maxBodyBytes = 1 << 20

// WriteJSON writes a body as JSON with its content type.
func WriteJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// DocumentHandler returns a handler that answers GET with the document from get and passes
// the body of a PUT to set. A PUT with unknown fields is refused with status 400.
func DocumentHandler[T any](get func() T, set func(T)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodGet:
		case http.MethodPut:
			var document T
			decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(&document); err != nil {
				http.Error(w, "malformed document: "+err.Error(), http.StatusBadRequest)
				return
			}
			set(document)
		default:
			http.Error(w, "only GET and PUT", http.StatusMethodNotAllowed)
			return
		}
		WriteJSON(w, get())
	})
}
