//! Start of a proxy: opens the sockets, takes over the state of the predecessor, and announces the endpoints
//! of the configuration.

use super::admin::AdminServer;
use super::client_admission::ClientListener;
use super::client_table::Clients;
use super::configuration::Configuration;
use super::discovery::Discovery;
use super::log_limit::LogLimits;
use super::metrics::Metrics;
use super::predecessor;
use super::purges::RecentPurges;
use super::recent_executions::RecentExecutions;
use super::requests::ActiveRequests;
use super::staleness::{delivery_settings, StalenessBounds};
use super::takeover::{OpenedSocket, Takeover};
use super::takeover_files::TakeoverFiles;
use super::timers::{TimerCompaction, TimerEvent};
use super::unfinished_reads::UnfinishedReads;
use super::Proxy;
use crate::admin::Metrics as AdminMetrics;
use crate::config::platform::Config;
use crate::config::product::{Product, RegistrySettings};
use crate::config::settings::{ClassTable, RequestLimitsHistory};
use crate::lifecycle::Lifecycle;
use crate::local_cache::LocalCache;
use crate::net::bounds::Bounds;
use crate::net::clock::Clock;
use crate::net::event_loop::{EventLoop, SignalFlags, Timers};
use crate::net::memory::MemoryBudget;
use crate::net::pool::Pool;
use crate::net::startup::retry_step;
use crate::purges::channel_delivery::ChannelDelivery;
use crate::registry::driver::Driver;
use crate::registry::record::Names;
use crate::routing::events::{Event, Micros};
use crate::takeover::Identity;
use crate::Router;
use mio::Interest;
use slog::{warn, Logger};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Maximum number of connections to one endpoint.
const MAX_CONNECTIONS_PER_ENDPOINT: usize = 16;

/// Callback that receives each event before the router handles it, in order.
pub type EventObserver = Box<dyn FnMut(&Event)>;

/// Inputs of the start of a proxy.
pub struct Startup {
    /// Configuration.
    pub config: Config,
    /// The product's settings, with the path of their file.
    pub product: Option<(PathBuf, Product)>,
    /// Clock of the event loop.
    pub clock: Clock,
    /// Log of the process.
    pub log: Logger,
    /// Observer of the router's events, from the start on.
    pub event_observer: Option<EventObserver>,
}

/// Adds the step that failed to an error of the start.
fn step_failed(step: &str, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{step}: {error}"))
}

/// Retries steps of the start that may succeed a moment later, until a shutdown is requested.
struct Retry<'a> {
    clock: &'a Clock,
    flags: SignalFlags,
    log: &'a Logger,
}

impl Retry<'_> {
    fn run<T>(&self, step: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        let is_shutdown_requested = || self.flags.is_shutdown_requested();
        let report = |error: &io::Error| warn!(self.log, "can't start yet, trying again"; "error" => %error);
        retry_step(self.clock, &is_shutdown_requested, &report, step)
    }
}

/// Sockets that are opened before the proxy is created.
struct Sockets {
    listener: ClientListener,
    takeover: Option<Takeover>,
    admin: Option<AdminServer>,
}

impl Sockets {
    fn open(config: &Config, event_loop: &mut EventLoop, retry: &Retry) -> io::Result<Sockets> {
        let identity = Identity { name: config.name.clone(), listen: config.listen };
        let files = config.folder.clone().map(|folder| TakeoverFiles::new(folder, identity));
        let mut predecessor = retry.run(|| {
            let found = files.as_ref().map(|files| predecessor::find(files, retry.log));
            Ok(found.transpose()?.flatten())
        })?;
        let OpenedSocket { mut socket, is_shared } = retry
            .run(|| OpenedSocket::open(&mut predecessor, config))
            .map_err(|error| step_failed(&format!("can't listen on {}", config.listen), &error))?;
        let token = retry.run(|| event_loop.add(&mut socket, Interest::READABLE))?;
        let listener = ClientListener::new(token, socket);
        let takeover = files.map(|files| Takeover::new(files, predecessor, is_shared, event_loop));
        let admin = config.management.map(|address| open_admin(address, event_loop, retry)).transpose()?;
        Ok(Sockets { listener, takeover, admin })
    }
}

fn open_admin(address: SocketAddr, event_loop: &mut EventLoop, retry: &Retry) -> io::Result<AdminServer> {
    retry
        .run(|| AdminServer::open(address, event_loop))
        .map_err(|error| step_failed(&format!("can't open the admin endpoint at {address}"), &error))
}

impl Proxy {
    /// Opens the sockets and applies the endpoints of the configuration. The event loop has received signals
    /// since the process started.
    ///
    /// # Errors
    /// A socket can't be opened, or the product's settings contradict the other settings.
    pub fn start(mut event_loop: EventLoop, startup: Startup) -> io::Result<Self> {
        let Startup { mut config, product, clock, log, event_observer } = startup;
        let (product_path, product) = product.unzip();
        let retry = Retry { clock: &clock, flags: event_loop.flags(), log: &log };
        let sockets = Sockets::open(&config, &mut event_loop, &retry)?;
        let known = std::mem::take(&mut config.known_events);
        let (peering, seed) = (config.peering.take(), config.seed);
        let configuration = Configuration::new(&config, product_path);
        let mut proxy = Proxy::new(event_loop, config, configuration, sockets, clock, log);
        proxy.event_observer = event_observer;
        proxy.adopt_classes();
        proxy.apply_limits();
        proxy.inherit_state();
        proxy.start_gossip(peering, seed);
        if let Some(product) = product {
            proxy.start_fleet(&product, seed).map_err(io::Error::other)?;
            if let Some(registry) = product.registry {
                proxy.follow_registry(registry, seed);
            }
        }
        for command in known {
            proxy.execute(command);
        }
        proxy.discovery.note_started();
        proxy.run_registry();
        proxy.process_events();
        for timer in [TimerEvent::Sweep, TimerEvent::MetricsReport] {
            proxy.timers.set(proxy.now, timer);
        }
        Ok(proxy)
    }

    fn new(
        event_loop: EventLoop,
        config: Config,
        configuration: Configuration,
        sockets: Sockets,
        clock: Clock,
        log: Logger,
    ) -> Self {
        let Sockets { listener, takeover, admin } = sockets;
        let now = clock.now();
        let mut classes = ClassTable::default();
        classes.apply(now, &config.settings);
        let is_shared = takeover.as_ref().is_some_and(Takeover::has_other_process);
        let router = Router::new(classes.for_router(&config.settings, is_shared), config.seed);
        let bounds = Bounds::from_limits(&config.limits, admin.is_some(), is_shared);
        let multiplex = config.settings.limits.multiplex;
        let delivery = ChannelDelivery::new(delivery_settings(&config.settings), now);
        Proxy {
            log,
            log_limits: LogLimits::default(),
            timestamps: clock.timestamps(),
            clock,
            now,
            polled_before: now,
            name: config.name,
            configuration,
            request_limits: RequestLimitsHistory::new(&config.settings),
            settings: config.settings,
            classes,
            bounds,
            memory: MemoryBudget::new(bounds.buffers),
            lifecycle: Lifecycle::default(),
            event_loop,
            timers: Timers::default(),
            timer_compaction: TimerCompaction::default(),
            ready: Vec::new(),
            unfinished_reads: UnfinishedReads::default(),
            router,
            events: VecDeque::new(),
            event_observer: None,
            actions: Vec::new(),
            listener,
            clients: Clients::default(),
            requests: ActiveRequests::default(),
            recent_executions: RecentExecutions::default(),
            paused_upstreams: Vec::new(),
            pool: Pool::new(multiplex, bounds.upstream, MAX_CONNECTIONS_PER_ENDPOINT, Micros::MAX),
            discovery: Discovery::new(config.channel, config.cursor, delivery),
            staleness: StalenessBounds::default(),
            purges: RecentPurges::default(),
            local_cache: LocalCache::default(),
            metrics: Metrics::default(),
            admin_metrics: AdminMetrics::default(),
            admin,
            gossip: None,
            fleet: None,
            takeover,
        }
    }

    /// Makes a registry the source of the endpoint list.
    fn follow_registry(&mut self, registry: RegistrySettings, seed: u64) {
        let names =
            Names { kinds: self.settings.kinds.clone(), zones: self.settings.failure_domains.clone() };
        let driver = Driver::new(registry, names, seed, self.now, self.log.clone());
        self.discovery.use_registry(driver);
    }
}
