package limits

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/view"
)

// TestOnlyTheLimitCoordinatorAnswers sends reports and lease requests to a daemon that is
// not the limit coordinator, which must refuse them, and to one that is; malformed bodies
// must be refused as well.
func TestOnlyTheLimitCoordinatorAnswers(t *testing.T) {
	is := is.New(t)
	l := New(Config{Domain: "d", Dialer: &net.Dialer{}, Metrics: metrics.NewRegistry(), Logger: zerolog.Nop()})
	post := func(path, body string) int {
		w := httptest.NewRecorder()
		l.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://any"+path, strings.NewReader(body)))
		return w.Code
	}
	is.Equal(post(PathReport, "{}"), http.StatusConflict)
	l.view.Store(&view.View{LimitCoordinators: map[string]view.LimitCoordinator{"d": {Local: true}}})
	is.Equal(post(PathReport, "{}"), http.StatusOK)
	is.Equal(post(PathLeases, `{"domain":"e","needs":{"a":1}}`), http.StatusOK)
	is.Equal(post(PathReport, "["), http.StatusBadRequest)
	is.Equal(post(PathLeases, `{"needs":[]}`), http.StatusBadRequest)
}
