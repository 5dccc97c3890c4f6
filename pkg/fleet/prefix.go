package fleet

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxCachedParts bounds the parts of prompts that are remembered, over all upstreams. One
// takes about 130 bytes, so all together take 2 MB of the smallest edge's 112 MB.
const maxCachedParts = 16384

// prefixCache estimates which parts of prompts are cached at which upstream: those that
// this process sent there, as far as they fit.
type prefixCache struct {
	parts  *simplelru.LRU[uint64, cachedPart] // by owner and part
	owners uint64
}

// cachedPart is a part that was read by an upstream.
type cachedPart struct {
	tokens int
	used   float64 // count of the owner when the part was used last
}

// cacheOwner is the cache of one run of an upstream.
type cacheOwner struct {
	id uint64
	// count is how many tokens were put into the cache. The cache evicts the least recently
	// used part, so a part is gone once more tokens than the cache holds were put into it
	// after the last use of that part.
	count float64
}

// newPrefixCache returns an empty cache of at most limit parts.
func newPrefixCache(limit int) *prefixCache {
	parts, err := simplelru.NewLRU[uint64, cachedPart](limit, nil)
	if err != nil {
		panic(err) // only a limit that is not positive is an error
	}
	return &prefixCache{parts: parts}
}

func (c *prefixCache) newOwner() cacheOwner {
	c.owners++
	return cacheOwner{id: c.owners}
}

// key mixes a part with its owner. Two of 16,384 entries have the same key with a
// probability of one in 10^11; the estimate is then wrong for one of them.
func (o *cacheOwner) key(part uint64) uint64 { return mix(part ^ mix(o.id)) }

// cached returns how many of the leading tokens of a prompt are probably in a cache with
// room for a number of tokens. A part counts only if all before it are there as a whole.
func (c *prefixCache) cached(o *cacheOwner, prompt []Part, room float64) int {
	total := 0
	for _, p := range prompt {
		n := c.part(o, p, room)
		total += n
		if n < p.Tokens {
			break
		}
	}
	return total
}

// part returns how many tokens of one part are probably cached.
func (c *prefixCache) part(o *cacheOwner, p Part, room float64) int {
	e, ok := c.parts.Peek(o.key(p.Key))
	if !ok || o.count-e.used > room {
		return 0
	}
	return min(e.tokens, p.Tokens)
}

// add records that an upstream has read the parts, of which the given number of tokens was
// not cached before, and extra tokens that follow the last one.
func (c *prefixCache) add(o *cacheOwner, prompt []Part, read, extra int) {
	o.count += float64(read + extra)
	for i, p := range prompt {
		n := p.Tokens
		if i == len(prompt)-1 {
			n += extra
		}
		key := o.key(p.Key)
		if e, ok := c.parts.Get(key); ok {
			n = max(n, e.tokens)
		}
		c.parts.Add(key, cachedPart{tokens: n, used: o.count})
	}
}

// mix spreads the bits of a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
