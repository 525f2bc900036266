//! Packets of clients and endpoints, as PROTOCOL.md describes them.

use std::net::SocketAddrV4;

pub const SYN: u8 = 64;
pub const ACK: u8 = 16;
pub const FIN: u8 = 2;
pub const RST: u8 = 4;

const HEAD_BYTES: usize = 36;

/// A packet between a client and an endpoint.
#[derive(Debug, Clone)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    /// The real key is not disclosed. Here it names the sender: 0 is the system, 1 a client, and
    /// 100 + n the endpoint n.
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![0; HEAD_BYTES];
        out[0..2].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        out[2..6].copy_from_slice(&self.seq.to_le_bytes());
        out[6..10].copy_from_slice(&self.ack.to_le_bytes());
        out[10..14].copy_from_slice(&u32::from(*self.to.ip()).to_le_bytes());
        out[14..16].copy_from_slice(&self.from.port().to_le_bytes());
        out[16..20].copy_from_slice(&u32::from(*self.from.ip()).to_le_bytes());
        out[20..22].copy_from_slice(&self.to.port().to_le_bytes());
        out[22..26].copy_from_slice(&self.echo.to_le_bytes());
        out[26] = self.flags;
        out[32..36].copy_from_slice(&self.sum.to_le_bytes());
        out.extend_from_slice(&self.data);
        out
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let u32_at = |offset: usize| {
            Some(u32::from_le_bytes(bytes.get(offset..offset + 4)?.try_into().ok()?))
        };
        let u16_at = |offset: usize| {
            Some(u16::from_le_bytes(bytes.get(offset..offset + 2)?.try_into().ok()?))
        };
        Some(Self {
            from: SocketAddrV4::new(u32_at(16)?.into(), u16_at(14)?),
            to: SocketAddrV4::new(u32_at(10)?.into(), u16_at(20)?),
            flags: *bytes.get(26)?,
            seq: u32_at(2)?,
            ack: u32_at(6)?,
            echo: u32_at(22)?,
            sum: u32_at(32)?,
            data: bytes.get(HEAD_BYTES..)?.to_vec(),
        })
    }

    pub fn has(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }
}
