package configstore

import (
	"encoding/binary"
	"slices"

	"github.com/pkg/errors"
)

// keptOrders is how many of the newest orders a state remembers: several times what the operator has under way at once, since each
// change carries them to all routers.
const keptOrders = 128

// ChangeID is the identity of an operator's order, by which an order that comes again is recognised.
type ChangeID [16]byte

// Order is a change that was taken, and the generation that it was made on.
type Order struct {
	Base int64
	ID   ChangeID
}

// OrderStatus says what a state knows of an order.
type OrderStatus uint8

// What a state may know of an order.
const (
	// OrderUnknown: the order has not been taken.
	OrderUnknown OrderStatus = iota
	// OrderTaken: the order has been taken.
	OrderTaken
	// OrderForgotten: orders on its base are remembered no longer, so that it may have been taken or not.
	OrderForgotten
)

// Find says what the state knows of an order on top of a generation. Each generation is the base of one order at the most, and bases
// rise, so that what is not remembered was not taken unless its base lies among the forgotten ones.
func (state State) Find(base int64, id ChangeID) OrderStatus {
	switch {
	case state.HasChange(id):
		return OrderTaken
	case base >= 0 && base < state.ForgottenBelow:
		return OrderForgotten
	default:
		return OrderUnknown
	}
}

// HasChange says whether the order is among those remembered.
func (state State) HasChange(id ChangeID) bool {
	return slices.ContainsFunc(state.Orders, func(order Order) bool { return order.ID == id })
}

// remember adds an order and forgets the oldest ones beyond what is kept.
func (state *State) remember(order Order) {
	orders := append(slices.Clone(state.Orders), order)
	if excess := len(orders) - keptOrders; excess > 0 {
		state.ForgottenBelow = max(state.ForgottenBelow, orders[excess-1].Base+1)
		orders = slices.Clone(orders[excess:])
	}
	state.Orders = orders
}

// encodedOrder is the size of an order in a payload: its base and its identity.
const encodedOrder = 8 + len(ChangeID{})

// errOrders is the error of a list of orders that is cut short.
var errOrders = errors.New("configstore: orders of a state are cut short")

func encodeOrders(orders []Order) []byte {
	encoded := make([]byte, 0, len(orders)*encodedOrder)
	for _, order := range orders {
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(order.Base))
		encoded = append(encoded, order.ID[:]...)
	}
	return encoded
}

func decodeOrders(encoded []byte) ([]Order, error) {
	if len(encoded)%encodedOrder != 0 {
		return nil, errOrders
	}
	var orders []Order
	for chunk := range slices.Chunk(encoded, encodedOrder) {
		order := Order{Base: int64(binary.BigEndian.Uint64(chunk))}
		copy(order.ID[:], chunk[8:])
		orders = append(orders, order)
	}
	return orders, nil
}

// keptChanges is how many identities are written for earlier releases, to which the fleet may be rolled back: several times what the
// operator has under way at once.
const keptChanges = 32

// encodeChanges returns the identities of the newest orders, as earlier releases read them.
func encodeChanges(orders []Order) []byte {
	newest := orders[max(0, len(orders)-keptChanges):]
	encoded := make([]byte, 0, len(newest)*len(ChangeID{}))
	for _, order := range newest {
		encoded = append(encoded, order.ID[:]...)
	}
	return encoded
}

// takeEarlierChanges adds the orders that earlier releases took: identities without their bases, which this release hasn't written. Of an
// order that is not remembered nothing is known then if its base lies below the present generation.
func (state *State) takeEarlierChanges(encoded []byte) {
	for chunk := range slices.Chunk(encoded, len(ChangeID{})) {
		order := Order{Base: unknownBase}
		copy(order.ID[:], chunk)
		if !state.HasChange(order.ID) {
			state.Orders = append(state.Orders, order)
			state.ForgottenBelow = state.Generation
		}
	}
}

// unknownBase stands for the base of an order that an earlier release took.
const unknownBase = -1
