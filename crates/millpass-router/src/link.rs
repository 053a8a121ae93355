//! Link to the leader of the control group: finds it, keeps one connection, and reconnects.

use crate::driver::Driver;
use crate::member_choice::MemberChoice;
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

/// How a connection ended.
enum LinkEnd {
    /// The member does not lead; it may know who does.
    NotLeader(Option<SocketAddr>),
    /// It broke or went silent.
    Lost(CodecError),
}

/// The link's thread, and what a stop needs.
pub(crate) struct Link {
    driver: Arc<Driver>,
    settings: LinkSettings,
    members: Vec<SocketAddr>,
    stopping: Receiver<()>,
    connection: Arc<Mutex<Option<TcpStream>>>,
}

/// Ends a link's connection from another thread.
pub(crate) struct LinkStopper {
    connection: Arc<Mutex<Option<TcpStream>>>,
}

impl LinkStopper {
    /// Shuts the current connection down, so that a thread that reads from it wakes.
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
    /// `stopping` is closed when the link is to end.
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

    /// Body of the link's thread: members in turn, or the leader that one of them named.
    pub(crate) fn run(self) {
        let mut choice = MemberChoice::new(self.members.clone());
        let mut pause = self.settings.minimum_pause;
        while let Some(address) = choice.turn() {
            let served = self.connect_and_serve(address, &mut choice);
            pause = if served {
                self.settings.minimum_pause
            } else {
                (pause * 2).min(self.settings.maximum_pause)
            };
            if self.is_stopped_within(jittered(pause)) {
                return;
            }
        }
    }

    /// Serves one connection until it ends. Says whether the member answered as the leader.
    fn connect_and_serve(&self, address: SocketAddr, choice: &mut MemberChoice) -> bool {
        let stream = match TcpStream::connect_timeout(&address, self.settings.connect) {
            Ok(stream) => stream,
            Err(error) => {
                log::debug!("event=link_connect_failed member={address} error=\"{error}\"");
                self.driver.metrics.count_link("connect_failed");
                choice.lost(address);
                return false;
            }
        };
        let mut served = false;
        match self.serve(stream, &mut served) {
            LinkEnd::NotLeader(leader) => {
                self.driver.metrics.count_link("not_leader");
                choice.named(leader);
            }
            LinkEnd::Lost(error) => {
                self.driver.metrics.count_link("lost");
                choice.lost(address);
                log::warn!("event=link_lost member={address} error=\"{error}\"");
            }
        }
        served
    }

    fn serve(&self, stream: TcpStream, served: &mut bool) -> LinkEnd {
        let (reader, writer) = match self.prepare(&stream) {
            Ok(ends) => ends,
            Err(error) => return LinkEnd::Lost(error.into()),
        };
        let frames = self.driver.outbox.open();
        let end = thread::scope(|scope| {
            scope.spawn(|| write_frames(writer, &frames));
            self.driver.step(RoutingInput::LinkUp);
            let end = self.read_frames(reader, served);
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
        stream.set_read_timeout(Some(self.settings.connect))?;
        stream.set_write_timeout(Some(self.settings.silence))?;
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

    fn read_frames(&self, stream: TcpStream, served: &mut bool) -> LinkEnd {
        let mut reader = BufReader::new(&stream);
        loop {
            let input = match read_frame::<ControlToRouter>(&mut reader) {
                Ok(ControlToRouter::NotLeader(answer)) => {
                    let leader = answer.leader_address;
                    return LinkEnd::NotLeader(leader.and_then(|text| text.parse().ok()));
                }
                Ok(ControlToRouter::Update(update)) => RoutingInput::Update(update),
                Ok(ControlToRouter::ChangesAvailable) => RoutingInput::News,
                // For gateways only.
                Ok(
                    ControlToRouter::Gateway(_)
                    | ControlToRouter::Credit(_)
                    | ControlToRouter::Crashes(_)
                    | ControlToRouter::Permits(_)
                    | ControlToRouter::Limits(_),
                ) => continue,
                Ok(ControlToRouter::Claim(answer)) => RoutingInput::ClaimAnswered {
                    attempt: answer.attempt,
                    decision: answer.decision,
                },
                Ok(ControlToRouter::ClaimFinished(attempt)) => {
                    RoutingInput::ClaimFinished { attempt }
                }
                Err(error) => return LinkEnd::Lost(error),
            };
            if !*served {
                *served = true;
                if let Err(error) = stream.set_read_timeout(Some(self.settings.silence)) {
                    return LinkEnd::Lost(error.into());
                }
                self.driver.metrics.count_link("up");
                log::info!("event=link_up");
            }
            self.driver.note_leader_answer(&input);
            self.driver.step(input);
        }
    }

    fn is_stopped_within(&self, time: Duration) -> bool {
        let waited = self.stopping.recv_timeout(time);
        waited == Err(RecvTimeoutError::Disconnected)
    }
}

/// Writes frames until the outbox closes or the connection breaks, which the reader sees too.
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

/// A pause between half of `pause` and all of it, so that routers do not reconnect in step.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..=1.0))
}
