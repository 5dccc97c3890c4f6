package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	decide "github.com/yuccaspindle/yuccaspindle/pkg/core/sidecar"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

const (
	// kvChunk is the size in bytes of one message of a KV cache transfer.
	kvChunk = 256 << 10
	// kvTimeout bounds a KV cache transfer.
	kvTimeout = time.Minute
)

// orderBody is the body of POST /v1/orders.
type orderBody struct {
	Order        string `json:"order"`
	Program      string `json:"program,omitempty"`
	Argument     string `json:"argument,omitempty"`
	TermMS       int64  `json:"term_ms,omitempty"`
	Fencing      uint64 `json:"fencing,omitempty"`
	FencingScope string `json:"fencing_scope,omitempty"`
}

// serveOrder checks and carries out an engine order. Other sidecars may only
// fetch KV cache.
func (s *Sidecar) serveOrder(ctx context.Context, p *transport.Session, st *transport.Stream, o *peerv1.Order) {
	reply := func(fenced bool, err error) {
		r := &peerv1.OrderResult{Fenced: fenced}
		result := "done"
		if err != nil {
			r.Error, result = err.Error(), "failed"
		}
		s.met.ordered(o.Order, result)
		s.log.Info("engine order", "step", "order", "peer", p.Addr(), "order", o.Order, "program", o.Program,
			"argument", o.Argument, "slot", o.Slot, "epoch", o.Epoch, "fenced", fenced, "err", err)
		_ = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_OrderResult{OrderResult: r}})
	}
	fetch := o.Order == core.OrderExportKV && s.authorized(p, roleSidecar, s.cfg.SidecarNames)
	if !s.mayCommand(p) && !fetch {
		reply(false, errors.New(s.refusePeer(p, "order")))
		return
	}
	if s.cfg.Upstream.Kind != core.KindModel {
		reply(false, errors.New("the upstream is not an engine"))
		return
	}
	switch e := s.ask(func(ref decide.Ref) decide.Event {
		return decide.OrderReceived{
			At: now(), Ref: ref, Order: o.Order, Program: o.Program, Term: time.Duration(o.TermMs) * time.Millisecond,
			Slot: core.Slot(o.Slot), Epoch: core.Epoch(o.Epoch),
		}
	}).(type) {
	case decide.RefuseOrder:
		reply(e.Fenced, errors.New(e.Message))
		return
	}
	var err error
	switch o.Order {
	case core.OrderExportKV:
		err = s.exportKV(ctx, st, o)
	case core.OrderImportKV:
		err = s.importKV(ctx, o)
	case core.OrderResyncCache:
		s.listHeld(true)
	default:
		err = s.engineOrder(o)
	}
	var fenced bool
	if se := (*statusError)(nil); errors.As(err, &se) && se.status == http.StatusConflict {
		fenced = isFenced(se.body)
	}
	if err != nil {
		s.step(decide.OrderFailed{At: now(), Order: o.Order, Program: o.Program})
	}
	reply(fenced, err)
}

// engineOrder sends an order to the engine. Pins get a term even if the owner
// gave none.
func (s *Sidecar) engineOrder(o *peerv1.Order) error {
	ctx, cancel := context.WithTimeout(s.ctx, controlTimeout)
	defer cancel()
	b := orderBody{
		Order: o.Order, Program: o.Program, Argument: o.Argument, TermMS: o.TermMs, Fencing: o.Epoch,
	}
	if o.Epoch > 0 {
		// Epochs of different slots cannot be compared.
		b.FencingScope = "slot/" + strconv.FormatUint(uint64(o.Slot), 10)
	}
	if o.Order == core.OrderPin {
		b.TermMS = s.state.LimitPinTerm(time.Duration(o.TermMs) * time.Millisecond).Milliseconds()
	}
	err := s.up.doJSON(ctx, s.up.fresh, http.MethodPost, "/v1/orders", b, nil)
	if err != nil {
		s.log.Warn("engine refused an order", "step", "order", "peer", s.cfg.Upstream.URL, "order", o.Order, "program", o.Program, "err", err)
	}
	return err
}

// exportKV streams the KV cache of a program to the peer.
func (s *Sidecar) exportKV(ctx context.Context, st *transport.Stream, o *peerv1.Order) error {
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.up.base+"/v1/kv/"+escape(o.Program), nil)
	if err != nil {
		return err
	}
	res, err := s.up.fresh.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(res.Body, 4096))
		return &statusError{status: res.StatusCode, body: b}
	}
	for {
		b := make([]byte, kvChunk)
		n, err := res.Body.Read(b)
		if n > 0 {
			s.met.kvBytes.Add(n)
			if err := st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_Data{Data: &peerv1.Data{Chunk: b[:n]}}}); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// importKV fetches the KV cache of a program from the sidecar named in the
// argument and gives it to the engine.
func (s *Sidecar) importKV(ctx context.Context, o *peerv1.Order) error {
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	src, err := s.tr.Dial(ctx, o.Argument)
	if err != nil {
		return err
	}
	st, err := src.Open(ctx, &peerv1.Envelope{Body: &peerv1.Envelope_Order{Order: &peerv1.Order{
		Order: core.OrderExportKV, Program: o.Program, Slot: o.Slot, Epoch: o.Epoch, Owner: o.Owner,
	}}})
	if err != nil {
		return err
	}
	defer st.Close()
	if d, ok := ctx.Deadline(); ok {
		_ = st.SetDeadline(d)
	}
	pr, pw := io.Pipe()
	go func() {
		for {
			m, err := st.Recv()
			if err != nil {
				_ = pw.CloseWithError(fmt.Errorf("kv cache from %s: %w", o.Argument, noEOF(err)))
				return
			}
			if r := m.GetOrderResult(); r != nil {
				if r.Error != "" {
					_ = pw.CloseWithError(fmt.Errorf("kv cache from %s: %s", o.Argument, r.Error))
				} else {
					_ = pw.Close()
				}
				return
			}
			if _, err := pw.Write(m.GetData().GetChunk()); err != nil {
				return
			}
		}
	}()
	defer pr.Close()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, s.up.base+"/v1/kv/"+escape(o.Program), pr)
	if err != nil {
		return err
	}
	res, err := s.up.fresh.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		b, _ := io.ReadAll(io.LimitReader(res.Body, 4096))
		return &statusError{status: res.StatusCode, body: b}
	}
	return nil
}

// noEOF keeps the end of a stream before its result from looking like the end
// of the data.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// isFenced reads the engine's reason for a conflict.
func isFenced(body []byte) bool {
	var e struct {
		Error struct {
			Fenced bool `json:"fenced"`
		} `json:"error"`
	}
	return json.Unmarshal(body, &e) == nil && e.Error.Fenced
}
