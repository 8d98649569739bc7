@0xc5a1f0b2d4e69738;
# Messages between routers. Fields are added but never removed or renumbered. A
# change in the meaning of a field increments SCHEMA_VERSION in
# bramleysill_kernel.messages. The classes there and in bramleysill_wire.streams
# describe the fields.

struct Hello {
  schemaVersion @0 :UInt32;
  router @1 :Text;
  cell @2 :Text;
  incarnation @3 :Text;
  address @4 :Text;
}

struct Count { name @0 :Text; value @1 :Float64; }
struct Version { name @0 :Text; value @1 :UInt64; }
struct Held { upstream @0 :Text; term @1 :UInt64; number @2 :UInt64; }
struct Address { router @0 :Text; address @1 :Text; }
struct Dispatcher {
  upstream @0 :Text;
  router @1 :Text;
  term @2 :UInt64;
  number @3 :UInt64;
}
struct UnitOwner {
  unit @0 :Text;
  owner @1 :Text;
  fence @2 :UInt64;
  removed @3 :Bool;
}

struct UpstreamReport {
  upstream @0 :Text;
  condition @1 :Text;
  load @2 :Float64;
  rate @3 :Float64;
  cold @4 :Bool;
  hotUnits @5 :List(Count);
}

struct Heartbeat {
  router @0 :Text;
  incarnation @1 :Text;
  seq @2 :UInt64;
  term @3 :UInt64;
  echo @4 :Float64;
  address @5 :Text;
  failureDomain @6 :Text;
  promise @7 :Bool;
  storeOk @8 :Bool;
  leaving @9 :Bool;
  held @10 :List(Held);
  versions @11 :List(Version);
  reports @12 :List(UpstreamReport);
}

struct HeartbeatReply {
  coordinator @0 :Text;
  term @1 :UInt64;
  seq @2 :UInt64;
  stamp @3 :Float64;
  accepted @4 :Bool;
}

struct TableUpdate {
  service @0 :Text;
  block @1 :UInt32;
  version @2 :UInt64;
  base @3 :UInt64;
  data @4 :Data;
  units @5 :List(UnitOwner);
}

struct StateUpdate {
  coordinator @0 :Text;
  term @1 :UInt64;
  serial @2 :UInt64;
  manifestVersion @3 :UInt64;
  manifestText @4 :Text;
  tables @5 :List(TableUpdate);
  dispatchers @6 :List(Dispatcher);
  members @7 :List(Address);
  candidates @8 :List(Text);
  drained @9 :List(Text);
  tableVersions @10 :List(Version);
}

struct StateRequest { router @0 :Text; }

struct Release {
  term @0 :UInt64;
  service @1 :Text;
  unit @2 :Text;
  fence @3 :UInt64;
  upstream @4 :Text;
}

struct Released {
  service @0 :Text;
  unit @1 :Text;
  fence @2 :UInt64;
  upstream @3 :Text;
}

struct Suspend { term @0 :UInt64; upstream @1 :Text; }
struct Lapsed { upstream @0 :Text; generation @1 :List(UInt64); }
struct Warm {
  term @0 :UInt64;
  service @1 :Text;
  unit @2 :Text;
  upstream @3 :Text;
}
struct ProbeRequest { term @0 :UInt64; upstream @1 :Text; }
struct ProbeResult { upstream @0 :Text; reachable @1 :Bool; }

struct StreamOpen {
  stream @0 :UInt64;
  names @1 :Text;
  fence @2 :UInt64;
  head @3 :Data;
  length @4 :Int64;
  timeoutMs @5 :UInt32;
  repeatable @6 :Bool;
  priority @7 :Int32;
  body @8 :Data;
  last @9 :Bool;
}

struct StreamHead {
  stream @0 :UInt64;
  status @1 :UInt32;
  head @2 :Data;
  length @3 :Int64;
  body @4 :Data;
  last @5 :Bool;
}

struct StreamData { stream @0 :UInt64; data @1 :Data; last @2 :Bool; }
struct StreamAdmitted { stream @0 :UInt64; }
struct StreamWindow { stream @0 :UInt64; credit @1 :UInt32; }
struct StreamReset {
  stream @0 :UInt64;
  code @1 :Text;
  message @2 :Text;
  step @3 :Text;
  peer @4 :Text;
  outcome @5 :Text;
  retryAfterMs @6 :Int32;
}

struct KeyLoads {
  router @0 :Text;
  service @1 :Text;
  keys @2 :List(UInt16);
  counts @3 :List(UInt32);
  upstreams @4 :List(Text);
  responses @5 :List(UInt32);
  busyTimes @6 :List(Float32);
}

struct FeedItem {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  lease @3 :UInt64;
  removed @4 :Bool;
  packed @5 :Bool;
  base @6 :UInt64;
}

struct StoreFeed {
  router @0 :Text;
  prefix @1 :Text;
  base @2 :UInt64;
  revision @3 :UInt64;
  items @4 :List(FeedItem);
  era @5 :UInt64;
  age @6 :Float64;
}

struct StoreCopy {
  router @0 :Text;
  prefix @1 :Text;
  data @2 :Data;
}

struct FeedRequest {
  router @0 :Text;
  prefix @1 :Text;
  revision @2 :UInt64;
  era @3 :UInt64;
}

struct LimitRow {
  upstream @0 :Text;
  incarnation @1 :UInt64;
  rate @2 :Float64;
  age @3 :Float64;
}

struct UpstreamLimits {
  router @0 :Text;
  rows @1 :List(LimitRow);
}

struct DepartureRow {
  upstream @0 :Text;
  incarnation @1 :UInt64;
}

struct UpstreamDepartures {
  router @0 :Text;
  rows @1 :List(DepartureRow);
}

struct RangeNoticeList {
  router @0 :Text;
  service @1 :Text;
  paused @2 :UInt32;
  firsts @3 :List(UInt16);
  lasts @4 :List(UInt16);
  fences @5 :List(UInt64);
  values @6 :List(Float32);
}

struct HoldRow {
  upstream @0 :Text;
  incarnation @1 :UInt64;
  held @2 :Float64;
  unanswered @3 :Float64;
}

struct FormerTermHolds {
  router @0 :Text;
  service @1 :Text;
  era @2 :UInt64;
  tableRevision @3 :UInt64;
  inherited @4 :Float64;
  rows @5 :List(HoldRow);
}

struct TakeoverRequest {
  router @0 :Text;
  revision @1 :UInt64;
  lease @2 :UInt64;
}

struct LeaderChange {
  router @0 :Text;
  key @1 :Text;
  value @2 :Data;
  revision @3 :UInt64;
  lease @4 :UInt64;
  era @5 :UInt64;
}

struct PaceRequest {
  number @0 :UInt32;
  report @1 :LimitRow;
  maxWait @2 :Float64;
}

struct PaceReply {
  number @0 :UInt32;
  permitted @1 :Bool;
  delay @2 :Float64;
}

struct FreshnessRequest {
  number @0 :UInt32;
}

struct FreshnessRow {
  prefix @0 :Text;
  revision @1 :UInt64;
  age @2 :Float64;
}

struct FreshnessReply {
  number @0 :UInt32;
  era @1 :UInt64;
  rows @2 :List(FreshnessRow);
}

struct QuotaRequest {
  number @0 :UInt32;
  organisation @1 :Text;
  waiting @2 :UInt32;
  wanted @3 :UInt32;
}

struct QuotaReply {
  number @0 :UInt32;
  granted @1 :UInt32;
  delay @2 :Float64;
}

struct Frame {
  union {
    hello @0 :Hello;
    heartbeat @1 :Heartbeat;
    heartbeatReply @2 :HeartbeatReply;
    stateUpdate @3 :StateUpdate;
    stateRequest @4 :StateRequest;
    release @5 :Release;
    released @6 :Released;
    suspend @7 :Suspend;
    lapsed @8 :Lapsed;
    warm @9 :Warm;
    probeRequest @10 :ProbeRequest;
    probeResult @11 :ProbeResult;
    streamOpen @12 :StreamOpen;
    streamHead @13 :StreamHead;
    streamData @14 :StreamData;
    streamAdmitted @15 :StreamAdmitted;
    streamWindow @16 :StreamWindow;
    streamReset @17 :StreamReset;
    keyLoads @18 :KeyLoads;
    storeFeed @19 :StoreFeed;
    feedRequest @20 :FeedRequest;
    upstreamLimits @21 :UpstreamLimits;
    paceRequest @22 :PaceRequest;
    paceReply @23 :PaceReply;
    upstreamDepartures @24 :UpstreamDepartures;
    rangeNoticeList @25 :RangeNoticeList;
    formerTermHolds @26 :FormerTermHolds;
    takeoverRequest @27 :TakeoverRequest;
    leaderChange @28 :LeaderChange;
    storeCopy @29 :StoreCopy;
    packed @30 :Data;
    freshnessRequest @31 :FreshnessRequest;
    freshnessReply @32 :FreshnessReply;
    quotaRequest @33 :QuotaRequest;
    quotaReply @34 :QuotaReply;
  }
}
