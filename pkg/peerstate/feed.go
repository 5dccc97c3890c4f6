package peerstate

import (
	"context"
	"fmt"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// FeedInterval is how often a feed shows that its sender lives.
	FeedInterval = 400 * time.Millisecond
	// FeedTimeout bounds one message of a feed: some round trips between regions
	// and the transfer of a whole deployment.
	FeedTimeout = 3 * time.Second
	// FeedIdleTimeout is the silence after which a sender is given up: three
	// messages.
	FeedIdleTimeout = 3 * FeedInterval
	// feedMaxAge is how old a sender's last check may be. A change has to be in
	// force within 3 s; this leaves time to go to another sender.
	feedMaxAge = 1900 * time.Millisecond
	// maxContent bounds the uncompressed content of a message in bytes: some
	// times the objects of the largest deployment.
	maxContent = 32 << 20
	// feedDialTimeout bounds the beginning of a feed: some round trips between
	// regions.
	feedDialTimeout = 500 * time.Millisecond
)

// ErrNotWatching ends the feed of an entry that does not watch the store, or
// not well enough.
var ErrNotWatching = errors.New("the entry does not watch the store")

// RedirectError ends the feed of an entry that has feeds enough.
type RedirectError struct {
	Peer         string
	Alternatives []string // addresses of entries to follow
}

// Error implements error.
func (e *RedirectError) Error() string {
	return fmt.Sprintf("feed of %s: %d others to follow instead", e.Peer, len(e.Alternatives))
}

// Update is one message of a feed. Without content it shows that the sender
// lives.
type Update struct {
	Age        time.Duration // since the store was last known to have nothing newer
	Hops       int           // entries between the sender and the store
	HasContent bool
	Complete   bool // the changes are all objects there are
	// Grace is the time left, after the store was away, in which registrations
	// may be missing that come back.
	Grace         time.Duration
	Configuration []byte // nil: unchanged
	Upstreams     []platform.Change
	Nodes         []platform.Change
	// Retirements names all storage instances that are to be emptied; nil:
	// unchanged.
	Retirements []string
}

// EncodeContent compresses the content of a message.
func EncodeContent(content *peerv1.FeedContent) ([]byte, error) {
	data, err := proto.Marshal(content)
	if err != nil {
		return nil, errors.Wrap(err, "encode feed")
	}
	return s2.Encode(nil, data), nil
}

func unpack(u *peerv1.FeedUpdate) (*Update, error) {
	update := &Update{Age: time.Duration(u.GetAgeMs()) * time.Millisecond, Hops: int(u.GetHops())}
	if len(u.GetContent()) == 0 {
		return update, nil
	}
	if size, err := s2.DecodedLen(u.GetContent()); err != nil || size > maxContent {
		return nil, errors.Errorf("feed of %d bytes: %v", size, err)
	}
	data, err := s2.Decode(nil, u.GetContent())
	if err != nil {
		return nil, errors.Wrap(err, "decompress feed")
	}
	content := &peerv1.FeedContent{}
	if err := proto.Unmarshal(data, content); err != nil {
		return nil, errors.Wrap(err, "decode feed")
	}
	update.HasContent = true
	update.Complete = u.GetComplete()
	update.Grace = time.Duration(u.GetGraceMs()) * time.Millisecond
	update.Configuration = content.GetConfiguration()
	update.Upstreams = changes(content.GetUpstreams(), content.GetUpstreamsGone())
	update.Nodes = changes(content.GetNodes(), content.GetNodesGone())
	update.Retirements = content.GetRetirements().GetInstances()
	return update, nil
}

func changes(put []*peerv1.StoredObject, gone []string) []platform.Change {
	var list []platform.Change
	for _, o := range Objects(put) {
		list = append(list, platform.Change{Object: o})
	}
	for _, name := range gone {
		list = append(list, platform.Change{Object: platform.Object{Name: name}, Deleted: true})
	}
	return list
}

// Follow receives the feed of the entry at an address and hands its updates on,
// until the context ends, the entry falls silent or does not know what is new.
// It insists if the entry is not to refer to others.
func Follow(ctx context.Context, t *transport.Transport, address string, insist bool, take func(*Update)) error {
	dialing, cancel := context.WithTimeout(ctx, feedDialTimeout)
	defer cancel()
	session, err := t.Dial(dialing, address)
	if err != nil {
		return err
	}
	st, err := session.Open(dialing, &peerv1.Envelope{Body: &peerv1.Envelope_FeedRequest{FeedRequest: &peerv1.FeedRequest{Insist: insist}}})
	if err != nil {
		return err
	}
	defer st.Close()
	defer context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })()
	until := time.Now().Add(FeedTimeout)
	for {
		if err := st.SetDeadline(until); err != nil {
			return errors.Wrap(err, "set deadline")
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		m, err := st.Recv()
		if err != nil {
			return err
		}
		u := m.GetFeedUpdate()
		if u.GetFull() {
			return &RedirectError{Peer: address, Alternatives: u.GetFollowInstead()}
		}
		update, err := unpack(u)
		if err != nil {
			return err
		}
		if !u.GetWatching() || update.Age > feedMaxAge {
			return errors.Wrapf(ErrNotWatching, "feed of %s, last check %v ago", address, update.Age)
		}
		take(update)
		until = time.Now().Add(min(FeedIdleTimeout, feedMaxAge-update.Age+FeedInterval))
	}
}
