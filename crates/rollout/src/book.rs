//! The orders that a node knows.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{ServiceName, Time};

use crate::order::Order;

/// An order with its age, as nodes pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownOrder {
    /// The order.
    pub order: Order,
    /// Time since the first node learned it.
    pub age: Duration,
}

/// The newest order of each service.
#[derive(Clone, Debug, Default)]
pub struct OrderBook {
    /// Orders with the time at which the first node learned them, in this process's clock.
    orders: BTreeMap<ServiceName, (Order, Time)>,
}

impl OrderBook {
    /// Adds an order that a node learned `age` ago. Returns whether it is newer than the known one.
    /// Of a known order, the greatest age counts.
    pub fn learn(&mut self, now: Time, order: &Order, age: Duration) -> bool {
        let learned_at = Time::from_micros(
            now.as_micros()
                .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
        );
        match self.orders.get_mut(&order.service) {
            Some((known, at)) if known.id == order.id => {
                *at = learned_at.min(*at);
                false
            }
            Some((known, _)) if known.id > order.id => false,
            Some(entry) => {
                // A repeat of the same order does not restart its time.
                let is_repeat = entry.0.target_version == order.target_version
                    && entry.0.duration == order.duration
                    && now.since(entry.1) < order.duration;
                let at = if is_repeat { entry.1 } else { learned_at };
                *entry = (order.clone(), at);
                true
            }
            None => {
                let entry = (order.clone(), learned_at);
                self.orders.insert(order.service.clone(), entry);
                true
            }
        }
    }

    /// Returns the order of a service and the time at which the first node learned it.
    pub fn order(&self, service: &ServiceName) -> Option<(&Order, Time)> {
        self.orders.get(service).map(|(order, at)| (order, *at))
    }

    /// Returns all orders, to pass them on.
    pub fn known(&self, now: Time) -> Vec<KnownOrder> {
        let known = |(order, at): &(Order, Time)| KnownOrder {
            order: order.clone(),
            age: now.since(*at),
        };
        self.orders.values().map(known).collect()
    }
}
