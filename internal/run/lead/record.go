package lead

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

type (
	// firstHolder is the content of a lease record that VMs of all versions read. They cannot read one
	// with more fields.
	firstHolder struct {
		_        struct{} `cbor:",toarray"`
		Name     string
		Address  string
		Token    int64
		Renewal  int64
		Released bool
	}

	// markedHolder is the content of one that VMs with HolderMark read.
	markedHolder struct {
		_           struct{} `cbor:",toarray"`
		Name        string
		Address     string
		Token       int64
		Renewal     int64
		Released    bool
		MarkedSince int64
		Part        int
		Unclean     []int
	}
)

// encodeHolder encodes a lease record. A journal that has moved is always named, because a VM that
// does not read it must not plan: the journal moves only while all VMs read it. Otherwise the fields
// after Released are left out unless all VMs read them.
func encodeHolder(h Holder, allReadFields bool) ([]byte, error) {
	var v any = firstHolder{Name: h.Name, Address: h.Address, Token: h.Token, Renewal: h.Renewal, Released: h.Released}
	if !h.Journal.Home() || (allReadFields && h.MarkedSince != 0) {
		v = markedHolder{
			Name: h.Name, Address: h.Address, Token: h.Token, Renewal: h.Renewal, Released: h.Released,
			MarkedSince: h.MarkedSince, Part: h.Journal.Part, Unclean: h.Journal.Unclean,
		}
	}
	b, err := cbor.Marshal(v)

	return b, errors.Wrap(err, "encode lease")
}

// decodeHolder decodes a lease record of any version.
func decodeHolder(b []byte) (Holder, error) {
	var m markedHolder
	if cbor.Unmarshal(b, &m) == nil {
		return Holder{
			Name: m.Name, Address: m.Address, Token: m.Token, Renewal: m.Renewal, Released: m.Released,
			MarkedSince: m.MarkedSince, Journal: Journal{Part: m.Part, Unclean: m.Unclean},
		}, nil
	}
	var f firstHolder
	err := cbor.Unmarshal(b, &f)

	return Holder{Name: f.Name, Address: f.Address, Token: f.Token, Renewal: f.Renewal, Released: f.Released}, errors.Wrap(err, "decode lease")
}
