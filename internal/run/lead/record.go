package lead

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// firstHolder is the content of a lease record of versions without HolderMark. They cannot read one
// with more fields.
type firstHolder struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Address  string
	Token    int64
	Renewal  int64
	Released bool
}

// encodeHolder encodes a lease record. The fields after Released are left out unless all VMs read them.
func encodeHolder(h Holder, allReadFields bool) ([]byte, error) {
	var v any = h
	if !allReadFields || h.MarkedSince == 0 {
		v = firstHolder{Name: h.Name, Address: h.Address, Token: h.Token, Renewal: h.Renewal, Released: h.Released}
	}
	b, err := cbor.Marshal(v)

	return b, errors.Wrap(err, "encode lease")
}

// decodeHolder decodes a lease record of any version.
func decodeHolder(b []byte) (Holder, error) {
	var h Holder
	err := cbor.Unmarshal(b, &h)
	if err == nil {
		return h, nil
	}
	var f firstHolder
	if cbor.Unmarshal(b, &f) == nil {
		return Holder{Name: f.Name, Address: f.Address, Token: f.Token, Renewal: f.Renewal, Released: f.Released}, nil
	}

	return Holder{}, errors.Wrap(err, "decode lease")
}
