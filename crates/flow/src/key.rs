//! Flow keys and their mapping to slots.

use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};

use packet::{Protocol, View};
use siphasher::sip::SipHasher13;

use crate::service::Address;

/// Number of slots that flows are hashed to. Each slot has one home.
pub const SLOTS: usize = 4_096;

stdx::value! {
    /// The addresses and ports of a flow's two ends and its protocol, in 16 bytes.
    pub struct Key {
        /// Address of the caller.
        pub caller_ip: Ipv4Addr,
        /// Address of the service.
        pub service_ip: Ipv4Addr,
        /// Port of the caller.
        pub caller_port: u16,
        /// Port of the service.
        pub service_port: u16,
        /// Transport protocol.
        pub protocol: Protocol,
    }

    /// The index of a slot, below [`SLOTS`].
    pub struct Slot(pub u16);

    /// The key of the hash that maps flows to slots; must be the same on all entries.
    #[derive(Default)]
    pub struct HashKey(pub u64, pub u64);
}

impl Key {
    /// The flow key of a packet sent by the caller.
    pub fn from_request(view: &View<'_>) -> Self {
        Self::new(view.protocol(), view.src, view.dst)
    }

    /// The flow key of a packet sent by the service.
    pub fn from_reply(view: &View<'_>) -> Self {
        Self::new(view.protocol(), view.dst, view.src)
    }

    /// The key of a flow from `caller` to `service`.
    pub fn new(protocol: Protocol, caller: SocketAddrV4, service: SocketAddrV4) -> Self {
        Self {
            caller_ip: *caller.ip(),
            service_ip: *service.ip(),
            caller_port: caller.port(),
            service_port: service.port(),
            protocol,
        }
    }

    /// The address of the flow's service.
    pub fn address(&self) -> Address {
        let socket = SocketAddrV4::new(self.service_ip, self.service_port);
        Address { protocol: self.protocol, socket }
    }

    /// The caller's end of the flow.
    pub fn caller(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.caller_ip, self.caller_port)
    }

    /// The keyed hash of the flow.
    pub fn hash(&self, key: HashKey) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(key.0, key.1);
        hasher.write_u32(self.caller_ip.to_bits());
        hasher.write_u32(self.service_ip.to_bits());
        hasher.write_u16(self.caller_port);
        hasher.write_u16(self.service_port);
        hasher.write_u8(self.protocol as u8);
        hasher.finish()
    }

    /// The slot of the flow.
    pub fn slot(&self, key: HashKey) -> Slot {
        Slot((self.hash(key) % SLOTS as u64) as u16)
    }
}
