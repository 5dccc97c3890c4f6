package peerstate

import (
	"context"
	"fmt"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/freshness"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// FeedInterval is the interval between keep-alive messages of a feed.
	FeedInterval = 400 * time.Millisecond
	// FeedTimeout bounds the transfer of one message of a feed: some round trips between
	// regions and the state of a whole deployment.
	FeedTimeout = 3 * time.Second
	// FeedIdleTimeout is the time without a message after which a feed is closed: three
	// keep-alive intervals.
	FeedIdleTimeout = 3 * FeedInterval
	// maxFeedAge bounds the age of a sender's last check of the store. A change must be
	// in force within 3 s, so this leaves time to switch to another sender.
	maxFeedAge = 1900 * time.Millisecond
	// maxContentBytes bounds the uncompressed content of a message. It is several times
	// the size of the objects of the largest deployment.
	maxContentBytes = 32 << 20
	// feedDialTimeout bounds the connection and the request for a feed: some round trips
	// between regions.
	feedDialTimeout = 500 * time.Millisecond
)

// ErrUndated ends the feed of an entry that does not answer pings: what it sends may have
// waited in a buffer for any time.
var ErrUndated = errors.New("the entry does not answer pings")

// ErrNotWatching ends the feed of an entry that does not watch the store, or whose last
// check of the store is too old.
var ErrNotWatching = errors.New("the entry has no current watch of the store")

// RedirectError ends the feed of an entry that serves its maximum number of feeds.
type RedirectError struct {
	Peer         string
	Alternatives []string // addresses of entries to follow instead
}

// Error implements error.
func (e *RedirectError) Error() string {
	return fmt.Sprintf("feed of %s redirected to %d other entries", e.Peer, len(e.Alternatives))
}

// Update is one message of a feed. An update without content is a keep-alive.
type Update struct {
	Age        time.Duration // time since the sender last verified that it had all changes
	Hops       int           // number of entries between the sender and the store
	echo       uint64        // number of the ping that the update answers
	checkedAgo freshness.EncodedAge
	HasContent bool
	Complete   bool // the changes list all existing objects
	// Grace is the remaining time after an outage of the store in which upstreams may not
	// have registered again.
	Grace         time.Duration
	Configuration []byte // nil: unchanged
	Upstreams     []platform.Change
	Nodes         []platform.Change
	// Retirements names all storage instances that are to be emptied; nil: unchanged.
	Retirements []string
}

// EncodeContent encodes and compresses the content of a message.
func EncodeContent(content *peerv1.FeedContent) ([]byte, error) {
	data, err := proto.Marshal(content)
	if err != nil {
		return nil, errors.Wrap(err, "encode feed content")
	}
	return s2.Encode(nil, data), nil
}

// decodeUpdate decodes and decompresses a message of a feed.
func decodeUpdate(u *peerv1.FeedUpdate) (*Update, error) {
	update := &Update{Age: time.Duration(u.GetAgeMs()) * time.Millisecond, Hops: int(u.GetHops())}
	update.echo, update.checkedAgo = u.GetEcho(), freshness.EncodedAge(u.GetCheckedAgo())
	if len(u.GetContent()) == 0 {
		return update, nil
	}
	if size, err := s2.DecodedLen(u.GetContent()); err != nil || size > maxContentBytes {
		return nil, errors.Errorf("feed content is invalid or too large, %d bytes decompressed: %v", size, err)
	}
	data, err := s2.Decode(nil, u.GetContent())
	if err != nil {
		return nil, errors.Wrap(err, "decompress feed content")
	}
	content := &peerv1.FeedContent{}
	if err := proto.Unmarshal(data, content); err != nil {
		return nil, errors.Wrap(err, "decode feed content")
	}
	update.HasContent = true
	update.Complete = u.GetComplete()
	update.Grace = time.Duration(u.GetGraceMs()) * time.Millisecond
	update.Configuration = content.GetConfiguration()
	update.Upstreams = decodeChanges(content.GetUpstreams(), content.GetUpstreamsGone())
	update.Nodes = decodeChanges(content.GetNodes(), content.GetNodesGone())
	update.Retirements = content.GetRetirements().GetInstances()
	return update, nil
}

// decodeChanges returns the changes that put and delete the given objects.
func decodeChanges(put []*peerv1.StoredObject, gone []string) []platform.Change {
	var list []platform.Change
	for _, o := range Objects(put) {
		list = append(list, platform.Change{Object: o})
	}
	for _, name := range gone {
		list = append(list, platform.Change{Object: platform.Object{Name: name}, Deleted: true})
	}
	return list
}

// Follow receives the feed of the entry at an address and passes its updates to onUpdate.
// It returns when the context ends, the feed is idle for too long, or the entry's state
// is too old. With noRedirect set, the entry must serve the feed itself. The updates are dated
// by d, unless it is nil.
func Follow(ctx context.Context, t *transport.Transport, address string, noRedirect bool, d *Dating, onUpdate func(*Update)) error {
	dialing, cancel := context.WithTimeout(ctx, feedDialTimeout)
	defer cancel()
	session, err := t.Dial(dialing, address)
	if err != nil {
		return err
	}
	st, err := session.Open(dialing, feedRequest(noRedirect, d.ask()))
	if err != nil {
		return err
	}
	defer st.Close()
	defer d.end()
	defer context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })()
	until := time.Now().Add(FeedTimeout)
	for {
		if err := st.SetDeadline(until); err != nil {
			return errors.Wrap(err, "set feed deadline")
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
		update, err := decodeUpdate(u)
		if err != nil {
			return err
		}
		if !u.GetWatching() || update.Age > maxFeedAge {
			return errors.Wrapf(ErrNotWatching, "feed of %s, last check of the store %v ago", address, update.Age)
		}
		if d != nil && update.echo == 0 {
			return errors.Wrapf(ErrUndated, "feed of %s", address)
		}
		onUpdate(update)
		d.record(update, func(ping uint64) error { return st.Send(feedRequest(noRedirect, ping)) })
		until = time.Now().Add(min(FeedIdleTimeout, maxFeedAge-update.Age+FeedInterval))
	}
}
