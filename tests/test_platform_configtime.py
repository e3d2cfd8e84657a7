"""A configuration must be in force in time whatever the store does."""

import asyncio
import json
import threading
import time

from experiments.disturbedlink import Link
from experiments.platformcluster import HOST
from tests.test_platform_process import call
from tests.test_platform_process import ClusterTest

# Bounds of the platform: the time to apply a configuration, and the stability
# time after connections went silent.
APPLY_SECONDS = 2.0
STABILITY_SECONDS = 3.0
GAUGE_POLL_SECONDS = 0.05


class LinkThread:
    """Runs a Link in a thread; ``link`` forwards ``port`` to ``target``."""

    def __init__(self, *, port: int, target: int):
        self.link = Link(target=target)
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.link.server = self.run(
            asyncio.start_server(self.link.handle_connection, HOST, port)
        )

    def run(self, coroutine):
        """Run a coroutine in the thread and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    async def call_link(self, function):
        """Call a method of the link."""
        return function()

    def silence(self):
        """Silence the connections that are open now."""
        self.run(self.call_link(self.link.silence))

    async def close_connections(self):
        """Close the listener and all connections, and wait for their tasks."""
        self.link.server.close()
        self.link.reset()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop(self):
        """Close all connections and end the thread."""
        self.run(self.close_connections())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


class ConfigTimeTest(ClusterTest):
    """Each failure domain has two nodes, both of them readers."""

    layout = {"front": 2, "deep": 2}

    def start_store(self):
        """Start the store behind a proxy."""
        cluster = self.cluster
        cluster.start_store()
        self.store_link = LinkThread(
            port=cluster.store_port, target=cluster.real_store_port
        )
        self.addCleanup(self.store_link.stop)

    def assert_in_force_in_time(self, version: int):
        """Publish a version and wait until all nodes have it in force."""
        self.publish_configuration(version)
        acknowledged = time.monotonic()
        while time.monotonic() - acknowledged < APPLY_SECONDS:
            if self.gauges("config_version") == {version}:
                return
            time.sleep(GAUGE_POLL_SECONDS)
        self.assertEqual({version}, self.gauges("config_version"))

    def test_a_change_that_ends_no_long_poll_is_in_force_in_time(self):
        """Guards against readers that rely on being told of a change.

        The store answered their long polls only when these ended.
        """
        self.wait_until_served()
        self.wait_until(lambda: self.gauges("store_reader") == {1})
        faults = json.dumps({"holds_polls": True}).encode()
        call(self.cluster.real_store_port, "/faults", body=faults)
        # Ends the long polls that began before.
        self.publish_configuration(2)
        self.wait_until(lambda: self.gauges("config_version") == {2})
        for version in (3, 4):
            self.assert_in_force_in_time(version)

    def test_a_change_after_connections_went_silent_is_in_force_in_time(self):
        """Guards against a long wait on a connection that passes nothing."""
        self.wait_until_served()
        self.wait_until(lambda: self.gauges("store_reader") == {1})
        self.publish_configuration(2)
        self.wait_until(lambda: self.gauges("config_version") == {2})
        self.store_link.silence()
        time.sleep(STABILITY_SECONDS)
        self.assert_in_force_in_time(3)
