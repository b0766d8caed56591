// Package reply writes the JSON answers of the stand-ins and serves documents
// that can be read and replaced, such as their faults.
//
// # Usage
//
//	reply.JSON(w, document)
//	router.Handle("/faults", reply.Document(store.Faults, store.SetFaults))
package reply

import (
	"encoding/json"
	"net/http"
)

// WriteJSON answers with a body.
func WriteJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// DocumentHandler returns a handler that answers GET with what get returns, and hands
// the body of a PUT to set. Unknown fields are refused.
func DocumentHandler[T any](get func() T, set func(T)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodGet:
		case http.MethodPut:
			var document T
			decoder := json.NewDecoder(r.Body)
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
