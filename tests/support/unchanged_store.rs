//! A store in which nothing has changed since the state that a host knows, for hosts that are given their state by the test.

use cranberrytally::{
    relay::{
        evacuations::Update,
        follow::{BackendsUpdate, Call, Hosts, Store, StoreError},
        origins::saved::SavedStreams,
        revision::Revision,
    },
    schema::fleet::Configuration,
};

/// Answers each call with no changes.
pub struct UnchangedStore;

impl UnchangedStore {
    fn revision(call: Call) -> Revision {
        call.after.unwrap_or(Revision::new(call.epoch, 1))
    }
}

impl Store for UnchangedStore {
    async fn configuration(&mut self, call: Call) -> Result<(Revision, Option<Configuration>), StoreError> {
        Ok((Self::revision(call), None))
    }

    async fn backends(&mut self, call: Call) -> Result<BackendsUpdate, StoreError> {
        Ok(BackendsUpdate::Events { revision: Self::revision(call), events: Vec::new() })
    }

    async fn evacuations(&mut self, call: Call) -> Result<Update, StoreError> {
        Ok(Update::Changes { revision: Self::revision(call), changes: Vec::new() })
    }

    async fn register_hosts(&mut self, _: &str, _: &Hosts) -> Result<(), StoreError> {
        Ok(())
    }

    async fn hosts(&mut self, _: bool) -> Result<Hosts, StoreError> {
        Ok(Hosts::default())
    }

    async fn save_streams(&mut self, _: &str, _: &SavedStreams) -> Result<(), StoreError> {
        Ok(())
    }

    async fn saved_streams(&mut self, _: Call) -> Result<Vec<SavedStreams>, StoreError> {
        Ok(Vec::new())
    }
}
