//! Packets as PROTOCOL.md gives them, and small helpers: base64, random numbers, time.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub const SYN: u8 = 64;
pub const ACK: u8 = 16;
pub const FIN: u8 = 2;
pub const RST: u8 = 4;
pub const MAX_DATA: usize = 1_200;
const HEAD: usize = 36;

#[derive(Debug, Clone)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    /// As read from the wire; [`Packet::encode`] writes the right one.
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![0; HEAD];
        out[0..2].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        out[2..6].copy_from_slice(&self.seq.to_le_bytes());
        out[6..10].copy_from_slice(&self.ack.to_le_bytes());
        out[10..14].copy_from_slice(&u32::from(*self.dst.ip()).to_le_bytes());
        out[14..16].copy_from_slice(&self.src.port().to_le_bytes());
        out[16..20].copy_from_slice(&u32::from(*self.src.ip()).to_le_bytes());
        out[20..22].copy_from_slice(&self.dst.port().to_le_bytes());
        out[22..26].copy_from_slice(&self.echo.to_le_bytes());
        out[26] = self.flags;
        out[32..36].copy_from_slice(&self.keyed_sum().to_le_bytes());
        out.extend_from_slice(&self.data);
        out
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let u32_at = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let u16_at = |at: usize| Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
        let data = bytes.get(HEAD..)?.to_vec();
        if usize::from(u16_at(0)?) != data.len() {
            return None;
        }
        Some(Self {
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(16)?), u16_at(14)?),
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(10)?), u16_at(20)?),
            flags: *bytes.get(26)?,
            seq: u32_at(2)?,
            ack: u32_at(6)?,
            echo: u32_at(22)?,
            sum: u32_at(32)?,
            data,
        })
    }

    pub fn is(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }

    /// Whether the packet is as its sender wrote it.
    pub fn is_intact(&self) -> bool {
        self.sum == self.keyed_sum()
    }

    /// Over all fields but `echo` and `pad`; never 0.
    fn keyed_sum(&self) -> u32 {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
            }
        };
        add(&u32::from(*self.src.ip()).to_le_bytes());
        add(&self.src.port().to_le_bytes());
        add(&u32::from(*self.dst.ip()).to_le_bytes());
        add(&self.dst.port().to_le_bytes());
        add(&[self.flags]);
        add(&self.seq.to_le_bytes());
        add(&self.ack.to_le_bytes());
        add(&self.data);
        ((hash ^ (hash >> 32)) as u32) | 1
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const CHARS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let index = (word >> (18 - 6 * place)) & 63;
            out.push(if place <= chunk.len() { CHARS[index as usize] as char } else { '=' });
        }
    }
    out
}

/// A random number; the sequence differs between runs.
pub fn random() -> u64 {
    static STATE: OnceLock<AtomicU64> = OnceLock::new();
    let state = STATE.get_or_init(|| AtomicU64::new(seed()));
    let mut word = state.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
    word = (word ^ (word >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    word ^ (word >> 31)
}

/// Differs between runs, also between those that start together.
fn seed() -> u64 {
    (unix_ms() ^ u64::from(std::process::id()) << 40).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// A random number from 0 up to 1.
pub fn unit() -> f64 {
    (random() >> 11) as f64 / (1_u64 << 53) as f64
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Seconds since the first call.
pub fn clock() -> f64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}
