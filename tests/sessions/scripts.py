"""The scripts of the sessions, each a function that drives a Cell."""

from tests.sessions.cell import CELL
from tests.sessions.cell import UPSTREAMS
from tests.sessions.cell import Cell
from tests.sessions.cell import make_manifest

SESSIONS = {}
# Session time at which the cell is ready to serve requests.
CELL_READY_SECONDS = 4.0
ONE_HOUR_SECONDS = 3600.0
UPLOAD_PIECE = b'x' * 100_000
UPLOAD_PIECES = 8


def session(function):
    """Register a session by the name of its function."""
    SESSIONS[function.__name__] = function
    return function


@session
def ordinary_morning(cell):
    """A cell starts, serves requests and applies a new manifest.

    The manifest declares another upstream.
    """
    cell.run(CELL_READY_SECONDS)
    for number, router in enumerate(('r1', 'r2', 'r3')):
        cell.call('caller', router, 'GET', f'/ledger/capsule-{number}')
        cell.run(cell.now + 0.2)
    cell.call('caller', 'r1', 'POST', '/ledger/capsule-1/openings', body=b'o')
    cell.run(6.0)
    cell.note('operator: a new manifest declares upstream u4 in fd-1')
    cell.add_upstream('u4', 4000.0)
    manifest = make_manifest({**UPSTREAMS, 'u4': 'fd-1'})
    cell.put('operator', 'manifest', manifest, expected=1)
    cell.run(12.0)
    cell.call('caller', 'r2', 'GET', '/ledger/capsule-3')
    cell.run(13.0)


@session
def drain_at_noon(cell):
    """A failure domain is drained under load and later restored."""
    cell.run(CELL_READY_SECONDS)
    cell.note('operator: drain fd-2; the answer to the table write is lost')
    cell.store.lose_reply_for = f'cell/{CELL}/table/ledger/0'
    cell.put('operator', 'drains', {'failure_domains': ['fd-2']})
    for number in range(8):
        cell.run(cell.now + 0.05)
        cell.call(f'c{number}', 'r1', 'GET', f'/ledger/k{number}')
    cell.run(8.0)
    cell.call('late', 'r3', 'GET', '/ledger/k1')
    cell.run(9.0)
    cell.saved_tables['drained'] = cell.table()
    cell.note('operator: end the drain of fd-2')
    cell.put('operator', 'drains', {}, expected=1)
    cell.run(17.0)


@session
def slow_start_after_loss(cell):
    """An upstream crashes, its shards move, and it restarts cold."""
    cell.run(CELL_READY_SECONDS)
    owner, _ = cell.owner_of('k1')
    cell.observed_process = owner
    lost = cell.upstreams[owner]
    cell.note(f'{owner} crashes')
    lost.loop.stop()
    cell.run(5.0)
    cell.call('held', 'r1', 'GET', '/ledger/k1')
    cell.run(10.0)
    cell.note(f'{owner} restarts cold')
    lost.loop.stopped = False
    lost.state = 'cold'
    lost.start()
    cell.run(17.0)
    lost.max_running = 0
    keys = [f'k{n}' for n in range(40) if cell.owner_of(f'k{n}')[0] == owner]
    cell.note(f'six callers at once send requests for keys of {owner}')
    for number, key in enumerate(keys[:3] * 2):
        cell.call(f'c{number}', 'r2', 'GET', f'/ledger/{key}')
    cell.run(19.0)


@session
def opening_repeated(cell):
    """An opening runs, its response is lost, and the caller repeats it.

    An opening is a POST request of a route that is not repeatable.
    """
    cell.run(CELL_READY_SECONDS)
    owner, _ = cell.owner_of('capsule-7')
    cell.upstreams[owner].lose_next_response = True
    path = '/ledger/capsule-7/openings'
    key = [('Idempotency-Key', 'opening-1')]
    cell.call('caller', 'r1', 'POST', path, key, b'open')
    cell.run(5.0)
    cell.note('the caller repeats the opening through another router')
    cell.call('caller', 'r2', 'POST', path, key, b'open')
    cell.run(6.0)
    cell.note('another opening, answered and then repeated')
    path = '/ledger/capsule-8/openings'
    key = [('Idempotency-Key', 'opening-2')]
    cell.call('caller', 'r3', 'POST', path, key, b'open')
    cell.run(7.0)
    cell.call('caller', 'r1', 'POST', path, key, b'open')
    cell.run(8.0)


@session
def coordinator_paused(cell):
    """The coordinator is paused until its lease has expired; it resumes."""
    cell.run(CELL_READY_SECONDS)
    paused = cell.leader()
    cell.note(f'{paused.cfg.name} is paused for 6 s')
    paused.loop.pause(6.0)
    others = [r for r in cell.routers.values() if r is not paused]
    cell.run(8.0)
    cell.call('caller', others[0].cfg.name, 'GET', '/ledger/k1')
    cell.call('other', others[1].cfg.name, 'GET', '/ledger/k2')
    cell.run(9.5)
    cell.note('operator: drain fd-1, before the paused router resumes')
    cell.put('operator', 'drains', {'failure_domains': ['fd-1']})
    cell.run(14.0)
    cell.call('caller', paused.cfg.name, 'GET', '/ledger/k1')
    cell.run(15.0)


@session
def operators_race(cell):
    """Two operators write a manifest, expecting the same version."""
    cell.run(CELL_READY_SECONDS)
    cell.note('both operators have read version 1')
    cell.add_upstream('u4', 4000.0)
    first = make_manifest({**UPSTREAMS, 'u4': 'fd-1'})
    second = make_manifest({n: UPSTREAMS[n] for n in ('u1', 'u2')})
    cell.put('operator-1', 'manifest', first, expected=1)
    cell.put('operator-2', 'manifest', second, expected=1, after=0.001)
    cell.run(9.0)
    cell.note('operator-3 loses the answer to a write and reads it back')
    cell.store.lose_reply_for = 'manifest'
    cell.put('operator-3', 'manifest', make_manifest(), expected=2)
    cell.run(9.5)
    version = cell.store.state.version('manifest')
    cell.note(f'the manifest has version {version}')
    cell.put('operator-3', 'manifest', make_manifest(), expected=2)
    cell.run(14.0)


@session
def store_down_for_an_hour(cell):
    """The store is down for an hour, and an upstream crashes meanwhile."""
    cell.run(CELL_READY_SECONDS)
    cell.note('the store becomes unavailable')
    cell.store.faults.set('down')
    cell.run(60.0)
    cell.call('caller', 'r1', 'GET', '/ledger/k1')
    cell.run(1800.0)
    owner, _ = cell.owner_of('k1')
    cell.note(f'{owner} crashes')
    cell.upstreams[owner].loop.stop()
    cell.run(1810.0)
    cell.call('caller', 'r1', 'GET', '/ledger/k1')
    cell.run(CELL_READY_SECONDS + ONE_HOUR_SECONDS)
    cell.note('the store is available again')
    cell.store.faults.set('none')
    cell.run(3612.0)
    cell.call('caller', 'r2', 'GET', '/ledger/k1')
    cell.run(3613.0)


@session
def shutdown_during_upload(cell):
    """A router shuts down while it forwards an upload."""
    cell.run(CELL_READY_SECONDS)
    _, dispatcher = cell.owner_of('k1')
    cell.observed_process = dispatcher
    router = cell.routers[dispatcher]
    cell.note(f'an upload of {UPLOAD_PIECES} pieces begins')
    pieces = [(0.3 * n, UPLOAD_PIECE) for n in range(1, UPLOAD_PIECES + 1)]
    path = '/ledger/k1/openings'
    cell.call('uploader', dispatcher, 'POST', path, pieces=pieces)
    cell.run(4.5)
    cell.note(f'{dispatcher} starts to shut down')
    router.shut_down()
    cell.run(4.7)
    cell.call('new', 'r1' if dispatcher != 'r1' else 'r2', 'GET', '/ledger/k1')
    cell.run(9.0)


def run_session(name):
    """Run a session; return its Cell after the last step."""
    with Cell() as cell:
        SESSIONS[name](cell)
    return cell
