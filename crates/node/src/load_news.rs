//! News of load between entries: who takes part, and the messages.

use std::net::{Ipv4Addr, SocketAddrV4};

use directory::Member;
use load::{Entry, News, Report, Scope};
use peer_proto::v1;
use peer_proto::v1::reach::Kind;
use stdx::hash;

/// Largest [`v1::LoadReport::scope`] that is not a window.
const MAX_OTHER_SCOPE: u32 = 1;

/// The number by which the exchange names the entry at an address.
pub fn entry_id(addr: SocketAddrV4) -> u64 {
    u64::from(u32::from(*addr.ip())) << 16 | u64::from(addr.port())
}

/// The members as they take part in the exchange.
pub fn entries<'a>(members: impl Iterator<Item = (&'a str, &'a Member)>) -> Vec<Entry> {
    let entry = |member: &Member| Entry {
        id: entry_id(member.addr),
        zone: hash::fnv1a(&member.zone),
        capacity: member.link_mbps,
    };
    members.map(|(_, member)| entry(member)).collect()
}

/// The recipient of news, and the message.
pub fn encode(news: News) -> (SocketAddrV4, Vec<u8>) {
    let ip = Ipv4Addr::from((news.to >> 16) as u32);
    let Report { scope, entries, age_ms, sent_ms, round_ms, round_time_ms, loads } = news.report;
    let scope = match scope {
        Scope::Own => 0,
        Scope::Fleet => MAX_OTHER_SCOPE,
        Scope::Window(level) => MAX_OTHER_SCOPE + 1 + u32::from(level),
    };
    let report = v1::LoadReport { scope, entries, age_ms, sent_ms, round_ms, round_time_ms, loads };
    (SocketAddrV4::new(ip, news.to as u16), peer_proto::encode_reach(Kind::LoadReport(report)))
}

/// The report of a message; `None` if this version does not know its scope.
pub fn decode(msg: v1::LoadReport) -> Option<Report> {
    let v1::LoadReport { scope, entries, age_ms, sent_ms, round_ms, round_time_ms, loads } = msg;
    let scope = match scope {
        0 => Scope::Own,
        MAX_OTHER_SCOPE => Scope::Fleet,
        window => Scope::Window(u8::try_from(window - MAX_OTHER_SCOPE - 1).ok()?),
    };
    Some(Report { scope, entries, age_ms, sent_ms, round_ms, round_time_ms, loads })
}
