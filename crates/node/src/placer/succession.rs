//! Handing over the lead.

use std::time::Duration;

use base::clock;
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use crate::{
    lead::Ending,
    link::{Down, Succession},
    placer::{
        event::Event,
        run::{Placer, tell},
    },
};

/// Time for the last frame to be sent.
const FAREWELL_TIME: Duration = Duration::from_millis(20);

/// Time for the last record when the process is to end.
const LAST_RECORD_TIME: Duration = Duration::from_millis(800);

impl Placer {
    /// Asks the nodes which of them can lead: first the strong ones, then all.
    pub(super) fn look_for_successor(&mut self) {
        let is_first = self.doubted_at.replace(Instant::now()).is_none();
        if !is_first {
            return self.helpers.tell(&Down::Doubt);
        }
        for instance in self.helpers.strong(&self.ctx.settings.name) {
            tell(self.helpers.down(&instance), Down::Doubt);
        }
    }

    /// Hands over to a node that is much stronger, if there is one.
    pub(super) fn prefer_stronger(&mut self) {
        let own = self.ctx.settings.strength_milli();
        let stronger = self.helpers.much_stronger(own).cloned();
        if let Some(stronger) = stronger.filter(|_| self.doubted_at.is_none()) {
            self.doubted_at = Some(Instant::now());
            tell(self.helpers.down(&stronger), Down::Doubt);
        }
    }

    /// Stops, and has the successor take the lead.
    pub(super) async fn hand_over(
        &mut self,
        events: &mut mpsc::UnboundedReceiver<Event>,
    ) -> Ending {
        let down = self.successor.take().and_then(|successor| self.helpers.down(&successor));
        if !self.lead.is_doubtful(clock::now()) {
            self.wind_down(events).await;
        }
        self.lead.end();
        let silent = self.board.unreachable_targets(clock::now());
        tell(down, Down::Succeed(Succession { revision: self.lead.revision.0, silent }));
        // The frame is sent before the links are closed.
        time::sleep(FAREWELL_TIME).await;
        Ending::HandedOver
    }

    /// Records what isn't yet, before another instance takes over.
    pub(super) async fn wind_down(&mut self, events: &mut mpsc::UnboundedReceiver<Event>) {
        let finish = async {
            // Nothing waits for an end that may follow.
            self.board.set_record_latency(Duration::ZERO);
            self.record_batches(clock::now());
            let mut has_failed = false;
            while self.recording > 0
                && let Some(event) = events.recv().await
            {
                has_failed |= matches!(event, Event::NotRecorded(_));
                self.take(event);
                if !has_failed {
                    self.board.set_record_latency(Duration::ZERO);
                    self.record_batches(clock::now());
                }
            }
        };
        // What can't be recorded in time is listed by the targets again.
        let _ = time::timeout(LAST_RECORD_TIME, finish).await;
    }
}
