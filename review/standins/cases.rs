//! The steps of each case, and its verdict.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::client::{ClientHost, Ended, Flow, GotReset};
use crate::endpoint::{Endpoint, Spec};
use crate::router::{Node, Routers, SIGCONT, SIGSTOP, ZONES};
use crate::store::Store;
use crate::world::{Links, World};

/// Zones of the nodes and number of endpoints of each zone, as on the site sakehaz-hq.
const NODE_ZONES: [usize; 4] = [0, 0, 1, 2];
const ENDPOINTS: [usize; 3] = [5, 5, 4];

/// `stable_window_ms` of the settings, in seconds.
const STABLE_WINDOW_S: f64 = 4.0;

/// Deadline of `case-order` on the site.
const DEADLINE: Duration = Duration::from_secs(2);

/// Stack of a client's thread.
const STACK_BYTES: usize = 256 << 10;

/// How clients' links and endpoints behave.
struct Manners {
    /// Delay to clients, one way.
    client_delay: Duration,
    /// Mean time of a request, and the spread of its logarithm.
    work: Duration,
    spread: f64,
    /// Whether endpoints send an unacknowledged SYN+ACK again.
    repeats_syn_ack: bool,
}

const FAST: Manners = Manners {
    client_delay: Duration::ZERO,
    work: Duration::from_millis(20),
    spread: 0.0,
    repeats_syn_ack: false,
};

/// The delay to clients and the work of `lot-check` on the site.
const AS_ON_SITE: Manners = Manners {
    client_delay: Duration::from_millis(3),
    work: Duration::from_millis(15),
    spread: 0.5,
    repeats_syn_ack: false,
};

/// Retries of a client.
const RETRIES: usize = 2;

/// Plays a case. Returns whether the rule was broken.
pub fn play(case: &str, record: &str, trouble: bool) -> Result<bool, String> {
    match case {
        "freeze" => freeze(&Deployment::start(record, &FAST)?, trouble),
        "zone" => zone(&Deployment::start(record, &FAST)?, trouble),
        "roll" => {
            roll(&Deployment::start(record, &Manners { repeats_syn_ack: true, ..FAST })?, trouble)
        }
        "restart" => restart(&Deployment::start(record, &AS_ON_SITE)?, trouble),
        _ => Err(format!("no case is called {case}")),
    }
}

/// A running deployment.
struct Deployment {
    world: Arc<World>,
    store: Store,
    nodes: Vec<Mutex<Node>>,
    routers: Arc<Routers>,
    hosts: Vec<Arc<ClientHost>>,
    safe: SocketAddrV4,
    unsafe_route: SocketAddrV4,
    stop: Arc<AtomicBool>,
}

/// What a client saw of a flow.
#[derive(Debug, Clone)]
struct Seen {
    name: String,
    flow: Option<SocketAddrV4>,
    answered: usize,
    deadlines: usize,
    /// When a reset came on the open flow, and what is known of it.
    reset: Option<(f64, GotReset)>,
}

impl Deployment {
    fn start(record: &str, manners: &Manners) -> Result<Self, String> {
        let world = Arc::new(World::new(record)?);
        let text = |e: std::io::Error| e.to_string();
        let store = Store::start(world.store_addr()).map_err(text)?;
        let stop = Arc::new(AtomicBool::new(false));
        let route_ip = *world.store_addr().ip();
        let safe = SocketAddrV4::new(route_ip, 8443);
        let unsafe_route = SocketAddrV4::new(route_ip, 8080);
        let config = format!(
            "{{\"version\":7,\"routes\":[\
             {{\"name\":\"r-1\",\"host\":\"{route_ip}\",\"prefix\":\"/8443/\",\"type\":\"safe\",\
             \"timeout_ms\":1500,\"goal_ms\":100,\"priority\":2,\"service\":\"order-desk\",\
             \"max_attempts\":2}},\
             {{\"name\":\"r-2\",\"host\":\"{route_ip}\",\"prefix\":\"/8080/\",\"type\":\"unsafe\",\
             \"timeout_ms\":2000,\"goal_ms\":120,\"priority\":1,\"service\":\"order-desk\",\
             \"max_attempts\":2}}],\
             \"services\":[{{\"name\":\"order-desk\",\"health_path\":\"/healthz\",\
             \"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":2.0,\
             \"warmup_per_s\":0.0}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        );
        store.put("op/config", &config);
        let mut number = 0;
        for (zone, count) in ENDPOINTS.into_iter().enumerate() {
            for _ in 0..count {
                let spec = Spec {
                    number,
                    zone,
                    zone_name: ZONES[zone],
                    service: "order-desk",
                    work: manners.work,
                    spread: manners.spread,
                    repeats_syn_ack: manners.repeats_syn_ack,
                };
                spec.register(&world, &store);
                Endpoint::start(spec, &world, NODE_ZONES.to_vec(), &stop).map_err(text)?;
                number += 1;
            }
        }
        let mut nodes = Vec::new();
        for (index, zone) in NODE_ZONES.into_iter().enumerate() {
            let mut node = Node::new(&world, index, ZONES[zone]).map_err(text)?;
            node.start().map_err(|e| format!("target/release/ibis-node: {e}"))?;
            nodes.push(Mutex::new(node));
        }
        let routers = Routers::start(&world, &NODE_ZONES, &stop);
        let hosts: Result<Vec<_>, _> = (0..ZONES.len())
            .map(|zone| ClientHost::start(&world, &routers, zone, manners.client_delay))
            .collect();
        let hosts = hosts.map_err(text)?;
        let deployment = Self { world, store, nodes, routers, hosts, safe, unsafe_route, stop };
        deployment.wait_ready()?;
        Ok(deployment)
    }

    /// Waits until all nodes are in rotation and have registered, and a little longer.
    fn wait_ready(&self) -> Result<(), String> {
        let ready = || {
            (0..NODE_ZONES.len()).all(|node| self.routers.in_rotation(node))
                && self.store.count("ibis/nodes/") == NODE_ZONES.len()
        };
        while !ready() {
            if self.world.now() > 20.0 {
                return Err("the nodes didn't become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_secs(3));
        Ok(())
    }

    fn node(&self, index: usize) -> MutexGuard<'_, Node> {
        self.nodes[index].lock().unwrap()
    }

    /// Stops and starts each node in turn.
    fn restart_all(&self, gap: Duration) -> Result<(), String> {
        for index in 0..NODE_ZONES.len() {
            self.world.note(&format!("node {index} gets SIGTERM"));
            self.node(index).stop(Duration::from_secs(6));
            self.world.note(&format!("node {index} has ended and starts again"));
            self.node(index).start().map_err(|e| e.to_string())?;
            while !self.routers.in_rotation(index) {
                thread::sleep(Duration::from_millis(10));
            }
            thread::sleep(gap);
        }
        Ok(())
    }

    /// Starts a client that opens a flow and sends requests on it, at seconds after its start.
    fn client(
        &self,
        zone: usize,
        name: String,
        method: &'static str,
        requests: Vec<f64>,
    ) -> JoinHandle<Seen> {
        let (world, host) = (Arc::clone(&self.world), Arc::clone(&self.hosts[zone]));
        let service = if method == "GET" { self.safe } else { self.unsafe_route };
        let steps = move || {
            let start = world.now();
            let mut seen = Seen { name, flow: None, answered: 0, deadlines: 0, reset: None };
            let Some(mut flow) = (0..=RETRIES).find_map(|_| Flow::open(&host, service)) else {
                world.note(&format!("{} opened no flow", seen.name));
                return seen;
            };
            seen.flow = Some(flow.addr);
            let mut line = format!("client {}: opened", flow.addr);
            for (number, at) in requests.into_iter().enumerate() {
                flow.rest(Duration::from_secs_f64((start + at - world.now()).max(0.0)));
                let id = format!("{}-{number}", seen.name);
                line += &format!("; {:.3} sent {id}", world.now());
                let ended = flow.request(method, &id, DEADLINE);
                let now = world.now();
                match ended {
                    Ended::Answered(endpoint) => {
                        seen.answered += 1;
                        line += &format!(", {now:.3} answered by endpoint {endpoint}");
                    }
                    Ended::Deadline => {
                        seen.deadlines += 1;
                        line += &format!(", {now:.3} no answer in time");
                        break;
                    }
                    Ended::Reset => {
                        seen.reset = flow.reset.map(|reset| (now, reset));
                        if let Some((_, reset)) = seen.reset {
                            let held = reset.held_by;
                            line += &format!(
                                ", {now:.3} reset by {}; node {} took the packet; the flow is open \
                                 at endpoint {held:?}",
                                sender(&reset),
                                reset.node
                            );
                        }
                        world.note(&line);
                        return seen;
                    }
                }
            }
            world.note(&line);
            flow.close();
            seen
        };
        let builder = thread::Builder::new().stack_size(STACK_BYTES);
        builder.spawn(steps).expect("cannot start a client's thread")
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if std::env::var_os("KEEP_LOGS").is_some() {
            for node in &self.nodes {
                let node = node.lock().unwrap();
                let name = node.log.file_name().unwrap_or_default();
                let _copied = std::fs::copy(&node.log, std::env::temp_dir().join(name));
            }
        }
        for node in &self.nodes {
            node.lock().unwrap().kill();
        }
        // What is left of a temporary folder does no harm.
        let _removed = std::fs::remove_dir_all(&self.world.folder);
    }
}

fn sender(reset: &GotReset) -> String {
    reset.sender.map_or_else(|| "the system".to_owned(), |number| format!("endpoint {number}"))
}

/// Whether a reset breaks FLOW (a): the flow was open at a live endpoint, which didn't send it.
fn is_false_reset(reset: &GotReset) -> bool {
    reset.held_by.is_some_and(|endpoint| reset.sender != Some(endpoint))
}

/// Writes the verdict into the record.
fn verdict(world: &World, seen: &[Seen], counted: impl Fn(f64, &GotReset) -> bool) -> bool {
    let opened = seen.iter().filter(|seen| seen.flow.is_some()).count();
    let answered: usize = seen.iter().map(|seen| seen.answered).sum();
    let late: usize = seen.iter().map(|seen| seen.deadlines).sum();
    let resets: Vec<(f64, GotReset)> = seen.iter().filter_map(|seen| seen.reset).collect();
    let false_resets = resets.iter().filter(|(_, reset)| is_false_reset(reset)).count();
    let broken =
        resets.iter().filter(|(at, reset)| is_false_reset(reset) && counted(*at, reset)).count();
    world.note(&format!(
        "{} clients, {opened} flows opened, {answered} requests answered, {late} not answered in \
         time, {} flows reset, {false_resets} of them not by the endpoint that holds the flow, \
         {broken} of these while all machines concerned were in touch",
        seen.len(),
        resets.len(),
    ));
    world.note(if broken > 0 { "FLOW is broken" } else { "FLOW holds" });
    broken > 0
}

fn join(clients: Vec<JoinHandle<Seen>>) -> Result<Vec<Seen>, String> {
    clients
        .into_iter()
        .map(|client| client.join().map_err(|_| "a client panicked".to_owned()))
        .collect()
}

/// A node stands still for 3.5 s while clients open flows that they keep.
fn freeze(deployment: &Deployment, trouble: bool) -> Result<bool, String> {
    const FROZEN: usize = 0;
    let world = Arc::clone(&deployment.world);
    let t0 = world.now();
    let (frozen_at, woken_at) = (t0 + 2.0, t0 + 5.5);
    let mut clients = Vec::new();
    let mut is_frozen = false;
    for number in 0..150 {
        world.sleep_until(t0 + f64::from(number) * 0.04);
        if trouble && !is_frozen && world.now() >= frozen_at {
            is_frozen = true;
            world.note("node 0 is stopped (SIGSTOP)");
            deployment.node(FROZEN).signal(SIGSTOP);
        }
        if is_frozen && world.now() >= woken_at {
            is_frozen = false;
            world.note("node 0 goes on (SIGCONT)");
            deployment.node(FROZEN).signal(SIGCONT);
            break;
        }
        clients.push(deployment.client(0, format!("order-{number}"), "POST", vec![0.0, 9.0]));
    }
    if is_frozen {
        world.sleep_until(woken_at);
        world.note("node 0 goes on (SIGCONT)");
        deployment.node(FROZEN).signal(SIGCONT);
    }
    let seen = join(clients)?;
    let in_touch = |at: f64, _: &GotReset| !trouble || at >= woken_at + STABLE_WINDOW_S;
    Ok(verdict(&world, &seen, in_touch))
}

/// A zone's only machine is lost and the zone is cut off; the operator evacuates the zone. Clients
/// keep flows to its endpoints and go on when the cut has healed.
fn zone(deployment: &Deployment, trouble: bool) -> Result<bool, String> {
    const ZONE: usize = 2;
    const MACHINE: usize = 3;
    let world = Arc::clone(&deployment.world);
    let t0 = world.now();
    let (lost_at, cut_at, evacuated_at, healed_at, end) =
        (t0 + 6.0, t0 + 6.2, t0 + 9.5, t0 + 11.7, t0 + 19.0);
    let mut clients = Vec::new();
    let mut steps: Vec<(f64, &str)> = vec![(evacuated_at, "evacuate")];
    if trouble {
        steps.extend([(lost_at, "lose"), (cut_at, "cut"), (healed_at, "heal")]);
    }
    steps.sort_by(|a, b| b.0.total_cmp(&a.0));
    for number in 0.. {
        world.sleep_until(t0 + f64::from(number) * 0.012);
        let now = world.now();
        if now >= end {
            break;
        }
        while let Some((_, step)) = steps.pop_if(|(at, _)| *at <= now) {
            match step {
                "lose" => {
                    world.note("node 3, the only one of hu-central-c, is lost (SIGKILL)");
                    deployment.node(MACHINE).kill();
                }
                "cut" => {
                    world.note("hu-central-c is cut off from the other zones");
                    world.set_links(Links::Cut(ZONE));
                }
                "heal" => {
                    world.note("the cut has healed");
                    world.set_links(Links::Sound);
                }
                _ => {
                    let at = deployment.store.put("op/evacuate/hu-central-c", "{}");
                    world.note(&format!("evacuation of hu-central-c acknowledged (rev {at})"));
                }
            }
        }
        // Short flows all the time, in all zones.
        for zone in 0..ZONES.len() {
            clients.push(deployment.client(
                zone,
                format!("check-{zone}-{number}"),
                "GET",
                vec![0.0],
            ));
        }
        // Flows that are kept. The first ones send again before the cut and long after it.
        let since = now - t0;
        if number % 3 == 0 && since < 9.0 {
            let requests = if since < 4.8 {
                vec![0.0, 5.0 + since / 5.0 - since, 16.4 + since / 5.0 - since]
            } else {
                vec![0.0, 8.0]
            };
            clients.push(deployment.client(0, format!("kept-{number}"), "GET", requests));
        }
    }
    let seen = join(clients)?;
    let in_touch = |at: f64, _: &GotReset| !trouble || at >= healed_at + STABLE_WINDOW_S;
    Ok(verdict(&world, &seen, in_touch))
}

/// Links lose packets while clients open flows that they keep. Later a node is restarted as planned.
fn roll(deployment: &Deployment, trouble: bool) -> Result<bool, String> {
    const ROLLED: usize = 0;
    const KEPT: u32 = 1_000;
    let world = Arc::clone(&deployment.world);
    let t0 = world.now();
    let mut clients = Vec::new();
    if trouble {
        world.note("links of hu-central-a to the other zones lose 2.5% of the packets");
        world.set_links(Links::Lossy(0, 0.025));
    }
    for number in 0..KEPT {
        world.sleep_until(t0 + 1.5 + f64::from(number) * 0.004);
        let again = t0 + 12.0 + f64::from(number) * 0.001 - world.now();
        clients.push(deployment.client(0, format!("order-{number}"), "POST", vec![0.0, again]));
    }
    let sound_at = t0 + 5.5;
    world.sleep_until(sound_at);
    world.set_links(Links::Sound);
    world.sleep_until(t0 + 6.0);
    world.note("node 0 gets SIGTERM");
    deployment.node(ROLLED).stop(Duration::from_secs(6));
    world.note("node 0 has ended and starts again");
    deployment.node(ROLLED).start().map_err(|e| e.to_string())?;
    let seen = join(clients)?;
    // FLOW counts under planned work in any case, but not what the losses themselves cause.
    let in_touch = |at: f64, _: &GotReset| !trouble || at >= sound_at + STABLE_WINDOW_S;
    Ok(verdict(&world, &seen, in_touch))
}

/// All nodes are restarted in turn, as planned, under the site's traffic on flows that are kept.
fn restart(deployment: &Deployment, trouble: bool) -> Result<bool, String> {
    /// New flows a second of the clients of each zone, as on the day scale-1.
    const PER_S: [f64; 3] = [124.0, 133.0, 183.0];
    const TRAFFIC_S: f64 = 62.0;
    const PAUSE_S: f64 = 6.0;
    /// Pause between two restarts.
    const GAP: Duration = Duration::from_secs(2);
    let world = Arc::clone(&deployment.world);
    let t0 = world.now();
    thread::scope(|scope| {
        let deployment: &Deployment = deployment;
        let sources: Vec<_> = (0..ZONES.len())
            .map(|zone| {
                let world = Arc::clone(&world);
                scope.spawn(move || {
                    let count = (TRAFFIC_S * PER_S[zone]) as u32;
                    let client = |number: u32| {
                        world.sleep_until(t0 + f64::from(number) / PER_S[zone]);
                        let name = format!("order-{zone}-{number}");
                        deployment.client(zone, name, "POST", vec![0.0, PAUSE_S])
                    };
                    (0..count).map(client).collect::<Vec<_>>()
                })
            })
            .collect();
        if trouble {
            thread::sleep(Duration::from_secs(1));
            for _ in 0..4 {
                deployment.restart_all(GAP)?;
            }
        }
        let mut seen = Vec::new();
        for source in sources {
            seen.extend(join(source.join().map_err(|_| "a client panicked".to_owned())?)?);
        }
        // FLOW counts under planned work in any case.
        Ok(verdict(&world, &seen, |_, _| true))
    })
}
