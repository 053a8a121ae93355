//! Connection to the leader of the control group, with leader discovery and reconnects.

use crate::driver::Driver;
use crate::member_selector::MemberSelector;
use crate::settings::LinkSettings;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use millpass_proto::codec::{CodecError, read_frame, write_frame};
use millpass_proto::{ControlToRouter, LinkMessage};
use millpass_routing::RoutingInput;
use rand::RngExt;
use std::io::{BufReader, BufWriter, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

enum LinkEnd {
    /// The member is not the leader; it may have stated the leader's address.
    NotLeader(Option<SocketAddr>),
    /// The connection was lost, or the contact timeout expired.
    Lost(CodecError),
}

pub(crate) struct Link {
    driver: Arc<Driver>,
    settings: LinkSettings,
    members: Vec<SocketAddr>,
    stopping: Receiver<()>,
    connection: Arc<Mutex<Option<TcpStream>>>,
}

pub(crate) struct LinkStopper {
    connection: Arc<Mutex<Option<TcpStream>>>,
}

impl LinkStopper {
    /// Shuts the current connection down, which wakes a blocked reader.
    pub(crate) fn shut_down(&self) {
        let connection = self
            .connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(stream) = connection.as_ref() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Link {
    /// `stopping` is disconnected to stop the link.
    pub(crate) fn new(
        driver: Arc<Driver>,
        settings: LinkSettings,
        members: Vec<SocketAddr>,
        stopping: Receiver<()>,
    ) -> (Link, LinkStopper) {
        let connection = Arc::new(Mutex::new(None));
        let stopper = LinkStopper {
            connection: connection.clone(),
        };
        let link = Link {
            driver,
            settings,
            members,
            stopping,
            connection,
        };
        (link, stopper)
    }

    /// Runs the link: connects to the members in turn, or to the leader that a member stated.
    pub(crate) fn run(self) {
        let mut selector = MemberSelector::new(self.members.clone());
        let mut delay = self.settings.minimum_reconnect_delay;
        while let Some(address) = selector.next_member() {
            let is_leader = self.connect_and_serve(address, &mut selector);
            delay = if is_leader {
                self.settings.minimum_reconnect_delay
            } else {
                (delay * 2).min(self.settings.maximum_reconnect_delay)
            };
            if self.wait_for_stop(jittered(delay)) {
                return;
            }
        }
    }

    /// Serves one connection until it ends. Returns true if the member responded as the leader.
    fn connect_and_serve(&self, address: SocketAddr, selector: &mut MemberSelector) -> bool {
        let stream = match TcpStream::connect_timeout(&address, self.settings.connect_timeout) {
            Ok(stream) => stream,
            Err(error) => {
                log::debug!("event=link_connect_failed member={address} error=\"{error}\"");
                self.driver.metrics.count_link("connect_failed");
                selector.mark_unreachable(address);
                return false;
            }
        };
        let mut is_leader = false;
        match self.serve(stream, &mut is_leader) {
            LinkEnd::NotLeader(leader) => {
                self.driver.metrics.count_link("not_leader");
                selector.set_leader_hint(leader);
            }
            LinkEnd::Lost(error) => {
                self.driver.metrics.count_link("lost");
                selector.mark_unreachable(address);
                log::warn!("event=link_lost member={address} error=\"{error}\"");
            }
        }
        is_leader
    }

    fn serve(&self, stream: TcpStream, is_leader: &mut bool) -> LinkEnd {
        let (reader, writer) = match self.prepare(&stream) {
            Ok(ends) => ends,
            Err(error) => return LinkEnd::Lost(error.into()),
        };
        let frames = self.driver.outbox.open();
        let end = thread::scope(|scope| {
            scope.spawn(|| write_frames(writer, &frames));
            self.driver.step(RoutingInput::LinkUp);
            let end = self.read_frames(reader, is_leader);
            self.driver.outbox.close();
            let _ = stream.shutdown(Shutdown::Both);
            end
        });
        self.set_connection(None);
        self.driver.step(RoutingInput::LinkDown);
        end
    }

    fn prepare(&self, stream: &TcpStream) -> std::io::Result<(TcpStream, TcpStream)> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.settings.connect_timeout))?;
        stream.set_write_timeout(Some(self.settings.contact_timeout))?;
        let ends = (stream.try_clone()?, stream.try_clone()?);
        self.set_connection(Some(stream.try_clone()?));
        Ok(ends)
    }

    fn set_connection(&self, stream: Option<TcpStream>) {
        let mut connection = self
            .connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *connection = stream;
    }

    fn read_frames(&self, stream: TcpStream, is_leader: &mut bool) -> LinkEnd {
        let mut reader = BufReader::new(&stream);
        loop {
            let input = match read_frame::<ControlToRouter>(&mut reader) {
                Ok(ControlToRouter::NotLeader(response)) => {
                    let leader = response.leader_address;
                    return LinkEnd::NotLeader(leader.and_then(|text| text.parse().ok()));
                }
                Ok(ControlToRouter::Update(update)) => RoutingInput::Update(update),
                Ok(ControlToRouter::ChangesAvailable) => RoutingInput::ChangesAvailable,
                // Sent to gateways only.
                Ok(
                    ControlToRouter::Gateway(_)
                    | ControlToRouter::Credit(_)
                    | ControlToRouter::Crashes(_)
                    | ControlToRouter::Permits(_)
                    | ControlToRouter::Limits(_)
                    | ControlToRouter::Peers(_)
                    | ControlToRouter::Origins(_)
                    | ControlToRouter::Runs(_),
                ) => continue,
                Ok(ControlToRouter::Claim(response)) => RoutingInput::ClaimDecided {
                    attempt: response.attempt,
                    decision: response.decision,
                },
                Ok(ControlToRouter::ClaimFinished(attempt)) => {
                    RoutingInput::ClaimFinished { attempt }
                }
                Err(error) => return LinkEnd::Lost(error),
            };
            if !*is_leader {
                *is_leader = true;
                if let Err(error) = stream.set_read_timeout(Some(self.settings.contact_timeout)) {
                    return LinkEnd::Lost(error.into());
                }
                self.driver.metrics.count_link("up");
                log::info!("event=link_up");
            }
            self.driver.record_leader_update(&input);
            self.driver.step(input);
        }
    }

    fn wait_for_stop(&self, time: Duration) -> bool {
        let waited = self.stopping.recv_timeout(time);
        waited == Err(RecvTimeoutError::Disconnected)
    }
}

/// Writes frames until the outbox closes or the connection is lost, which ends the reader as well.
fn write_frames(stream: TcpStream, frames: &Receiver<LinkMessage>) {
    let mut writer = BufWriter::new(&stream);
    for frame in frames {
        let mut written = write_frame(&mut writer, &frame);
        if written.is_ok() && frames.is_empty() {
            written = writer.flush().map_err(Into::into);
        }
        if let Err(error) = written {
            log::debug!("event=link_write_failed error=\"{error}\"");
            break;
        }
    }
    let _ = writer.flush();
    let _ = stream.shutdown(Shutdown::Both);
}

/// Returns a random delay between half of `delay` and all of it, so that routers do not reconnect
/// simultaneously.
fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(0.5..=1.0))
}
