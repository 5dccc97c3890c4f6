package frontend

import (
	"context"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Admin carries out operators' orders.
type Admin interface {
	// Drain hands over all slots and finishes what runs. The process goes on
	// answering until it is stopped.
	Drain()
	// Adopt lets the entry succeed owners of another region.
	Adopt(region string)
	// ReleaseQuarantine lets a refused request run again, on every entry.
	ReleaseQuarantine(fingerprint uint64)
	// Fleet returns the status of every process that can be reached.
	Fleet(ctx context.Context) any
}

func (s *Server) adminRoutes(e *gin.Engine) {
	g := e.Group("/v1/admin", s.requireOperator)
	g.POST("/drain", func(c *gin.Context) {
		s.opt.Admin.Drain()
		c.JSON(http.StatusAccepted, gin.H{"draining": true})
	})
	g.POST("/adopt/:region", func(c *gin.Context) {
		s.opt.Admin.Adopt(c.Param("region"))
		c.JSON(http.StatusAccepted, gin.H{"adopting": c.Param("region")})
	})
	g.POST("/quarantine/:fingerprint/release", s.releaseQuarantine)
	g.GET("/fleet", func(c *gin.Context) {
		c.JSON(http.StatusOK, s.opt.Admin.Fleet(c.Request.Context()))
	})
}

// requireOperator lets only callers through that the settings name as
// operators.
func (s *Server) requireOperator(c *gin.Context) {
	name, err := s.authenticate(c.Request)
	if err != nil {
		writeRefusal(c, asRefusal(err))
		return
	}
	if !s.operators[name] {
		writeRefusal(c, Refuse(core.CodeUnauthenticated, "authorize", "caller %s is not an operator", name).Refusal)
	}
}

func (s *Server) releaseQuarantine(c *gin.Context) {
	fingerprint, err := strconv.ParseUint(c.Param("fingerprint"), 16, 64)
	if err != nil {
		writeRefusal(c, Refuse(core.CodeBadRequest, "parse", "fingerprint %q is not a hexadecimal number of 64 bits", c.Param("fingerprint")).Refusal)
		return
	}
	s.opt.Admin.ReleaseQuarantine(fingerprint)
	c.JSON(http.StatusAccepted, gin.H{"released": c.Param("fingerprint")})
}
