//! Sharing of pinned flows with other entries: which entries hold a flow's pin, and its messages.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use directory::Member;
use indexmap::IndexMap;
use peer_proto::v1;
use peer_proto::v1::reach::Kind;
use stdx::hash;
use stdx::time::Timestamp;
use steer::{FlowKey, Pin, UpstreamId};

/// Number of entries that hold a flow's pin. Bounds the messages of a flow in a large fleet, and
/// leaves enough holders if several entries stop at once.
const HOLDERS: usize = 8;

/// Pins or flows per message; a message has to fit into a datagram.
const MAX_PER_MESSAGE: usize = 24;

/// IP protocol number of TCP.
const TCP: u32 = 6;

/// Time after which an answer to a lookup comes too late to be of use.
const LOOKUP_LIFETIME: Duration = Duration::from_secs(1);

/// Lookups whose answers are awaited.
#[derive(Debug, Clone, Default)]
pub struct PendingLookups {
    /// When each flow was looked up, and the entries that have not answered yet.
    flows: IndexMap<FlowKey, (Timestamp, Vec<SocketAddrV4>)>,
    /// Lookups that were not answered in time since the last report, by entry.
    unanswered: IndexMap<SocketAddrV4, u64>,
}

impl PendingLookups {
    /// Adds flows that are being looked up at their holders. Returns those without any.
    pub fn begin(
        &mut self,
        now: Timestamp,
        flows: &[FlowKey],
        holders: impl Fn(&FlowKey) -> Vec<SocketAddrV4>,
    ) -> Vec<FlowKey> {
        self.expire(now);
        let mut unheld = Vec::new();
        for flow in flows {
            let holders = holders(flow);
            if holders.is_empty() {
                unheld.push(*flow);
            } else {
                self.flows.insert(*flow, (now, holders));
            }
        }
        unheld
    }

    /// Entries that have not answered lookups in time since the last call, with the numbers of flows.
    pub fn take_unanswered(&mut self, now: Timestamp) -> IndexMap<SocketAddrV4, u64> {
        self.expire(now);
        std::mem::take(&mut self.unanswered)
    }

    fn expire(&mut self, now: Timestamp) {
        let unanswered = &mut self.unanswered;
        self.flows.retain(|_, (since, holders)| {
            let is_pending = now.since(*since) < LOOKUP_LIFETIME;
            for holder in holders.iter().filter(|_| !is_pending) {
                *unanswered.entry(*holder).or_default() += 1;
            }
            is_pending
        });
    }

    /// Removes an entry that has answered from the holders of flows. Returns the flows that all
    /// holders have answered.
    pub fn on_answer(&mut self, from: SocketAddrV4, flows: &[FlowKey]) -> Vec<FlowKey> {
        let mut complete = Vec::new();
        for flow in flows {
            let Some((_, holders)) = self.flows.get_mut(flow) else {
                continue;
            };
            holders.retain(|holder| *holder != from);
            if holders.is_empty() {
                self.flows.swap_remove(flow);
                complete.push(*flow);
            }
        }
        complete
    }
}

/// The other entries that hold a flow's pin: those with the highest hashes of the flow and their
/// name. All entries agree on them as far as they know the same members.
pub fn holders<'a>(
    flow: &FlowKey,
    own: &str,
    members: impl Iterator<Item = (&'a str, &'a Member)>,
) -> Vec<SocketAddrV4> {
    let client = u64::from(u32::from(*flow.client.ip())) << 16 | u64::from(flow.client.port());
    let flow_hash = hash::mix(client);
    let weight = |name: &str| hash::mix(flow_hash ^ hash::fnv1a(name));
    let mut ranked: Vec<(u64, SocketAddrV4)> = members
        .filter(|(name, _)| *name != own)
        .map(|(name, member)| (weight(name), member.addr))
        .collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked.into_iter().take(HOLDERS).map(|(_, addr)| addr).collect()
}

/// Messages that ask the holders of flows for their pins.
pub fn look_up<'a, M>(
    flows: &[FlowKey],
    own: &str,
    members: impl Fn() -> M,
) -> Vec<(SocketAddrV4, Vec<u8>)>
where
    M: Iterator<Item = (&'a str, &'a Member)>,
{
    let holders = |flow: &FlowKey| holders(flow, own, members());
    let encode = |flows: &[FlowKey]| {
        let flows = flows.iter().map(encode_flow).collect();
        peer_proto::encode_reach(Kind::PinLookup(v1::PinLookup { flows }))
    };
    batches(flows, holders).map(|(to, flows)| (to, encode(&flows))).collect()
}

/// Messages that answer another entry's lookup: the pins, and the flows that are not known here.
pub fn answer(to: SocketAddrV4, pins: &[Pin], unknown: &[FlowKey]) -> Vec<(SocketAddrV4, Vec<u8>)> {
    let known = pins.chunks(MAX_PER_MESSAGE).map(|pins| encode_pins(pins, &[], 0));
    let unknown = unknown.chunks(MAX_PER_MESSAGE).map(|flows| encode_pins(&[], flows, 0));
    known.chain(unknown).map(|bytes| (to, bytes)).collect()
}

/// The message that confirms pins, by their message's number.
pub fn confirm(number: u32) -> Vec<u8> {
    peer_proto::encode_reach(Kind::PinsReceived(v1::PinsReceived { number }))
}

/// The flows about which a message says anything.
pub fn answered(msg: &v1::Pins) -> Vec<FlowKey> {
    let known = msg.pins.iter().filter_map(|pin| pin.flow.as_ref());
    known.chain(&msg.unknown).filter_map(decode_flow).collect()
}

/// The valid pins of a message.
pub fn decode(msg: &v1::Pins) -> Vec<Pin> {
    let decode = |pin: &v1::Pin| {
        Some(Pin {
            flow: decode_flow(pin.flow.as_ref()?)?,
            initial_seq: pin.initial_seq,
            first_ack: pin.first_ack,
            upstream: UpstreamId(pin.upstream),
        })
    };
    msg.pins.iter().filter_map(decode).collect()
}

/// The valid flows of a lookup.
pub fn decode_lookup(msg: &v1::PinLookup) -> Vec<FlowKey> {
    msg.flows.iter().filter_map(decode_flow).collect()
}

/// Groups items by recipient, in batches that fit into a message.
pub(crate) fn batches<T: Copy>(
    items: &[T],
    recipients: impl Fn(&T) -> Vec<SocketAddrV4>,
) -> impl Iterator<Item = (SocketAddrV4, Vec<T>)> {
    let mut by_recipient: IndexMap<SocketAddrV4, Vec<T>> = IndexMap::new();
    for item in items {
        for to in recipients(item) {
            by_recipient.entry(to).or_default().push(*item);
        }
    }
    by_recipient.into_iter().flat_map(|(to, items)| {
        let batches: Vec<_> = items.chunks(MAX_PER_MESSAGE).map(<[T]>::to_vec).collect();
        batches.into_iter().map(move |batch| (to, batch))
    })
}

/// Encodes pins and flows that are not known here. The recipient confirms a message with a `number`
/// other than 0.
pub(crate) fn encode_pins(pins: &[Pin], unknown: &[FlowKey], number: u32) -> Vec<u8> {
    let encode = |pin: &Pin| v1::Pin {
        flow: Some(encode_flow(&pin.flow)),
        initial_seq: pin.initial_seq,
        first_ack: pin.first_ack,
        upstream: pin.upstream.0,
    };
    let pins = pins.iter().map(encode).collect();
    let unknown = unknown.iter().map(encode_flow).collect();
    peer_proto::encode_reach(Kind::Pins(v1::Pins { pins, unknown, number }))
}

fn encode_flow(flow: &FlowKey) -> v1::FlowKey {
    v1::FlowKey {
        caller_ip: (*flow.client.ip()).into(),
        service_ip: (*flow.service.ip()).into(),
        caller_port: flow.client.port().into(),
        service_port: flow.service.port().into(),
        protocol: TCP,
    }
}

fn decode_flow(flow: &v1::FlowKey) -> Option<FlowKey> {
    let addr =
        |ip: u32, port: u32| Some(SocketAddrV4::new(Ipv4Addr::from(ip), u16::try_from(port).ok()?));
    Some(FlowKey {
        client: addr(flow.caller_ip, flow.caller_port)?,
        service: addr(flow.service_ip, flow.service_port)?,
    })
}
