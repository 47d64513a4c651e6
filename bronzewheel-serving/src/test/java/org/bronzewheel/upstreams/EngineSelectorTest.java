package org.bronzewheel.upstreams;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EngineSelectorTest {
    private static final String SERVICE = "llm";
    private static final String DOMAIN = "a";
    private static final int SLOTS = 24;

    private final UpstreamTable table = new UpstreamTable(2_000);
    private final EngineSelector selector = new EngineSelector();
    private long nowMillis = 1_000;

    private Upstream engine(String id, long startedMillis) {
        table.put(
                new UpstreamEntry(id, SERVICE, "127.0.0.1:1", DOMAIN, SLOTS, startedMillis, false),
                nowMillis);
        return table.known(id).orElseThrow();
    }

    private static Prompt prompt(String prefix, int shared, int own) {
        return new Prompt(
                shared + own,
                List.of(new PromptPart(prefix, shared), new PromptPart(prefix + "-own", own)),
                Map.of());
    }

    private static Prompt unshared(int tokens) {
        return new Prompt(tokens, List.of(new PromptPart("own", tokens)), Map.of());
    }

    private Upstream select(Prompt prompt) {
        return selector.select(table.serving(SERVICE), Set.of(), prompt, DOMAIN, nowMillis)
                .orElseThrow();
    }

    private void firstEvents(Upstream engine, double millis, int times) {
        for (int i = 0; i < times; i++) {
            nowMillis += 100;
            selector.recordFirstEvent(engine, 2_000, millis, nowMillis);
        }
    }

    // Guards against prompts that queue at an engine of half the speed while a fast one is idle.
    @Test
    void aLongPromptGoesToTheEngineThatAnswersFaster() {
        Upstream slow = engine("slow", 1);
        Upstream fast = engine("fast", 1);
        for (int i = 0; i < 20; i++) {
            firstEvents(slow, 80, 1);
            firstEvents(fast, 40, 1);
        }
        assertThat(slow.slowness(nowMillis)).isGreaterThan(fast.slowness(nowMillis));
        assertThat(select(unshared(6_000))).isSameInstanceAs(fast);
    }

    // Guards against behavior that changes without a reason in what the engines answer.
    @Test
    void amongEquallyFastEnginesThePrefixDecides() {
        for (int i = 0; i < 8; i++) {
            engine("e" + i, 1);
        }
        List<Upstream> before = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            before.add(select(prompt("p" + i, 2_000, 300)));
        }
        for (int round = 0; round < 20; round++) {
            table.serving(SERVICE).forEach(engine -> firstEvents(engine, 40, 1));
        }
        for (int i = 0; i < 50; i++) {
            assertThat(select(prompt("p" + i, 2_000, 300))).isSameInstanceAs(before.get(i));
        }
    }

    @Test
    void aRestartUnderTheSameIdDiscardsTheEstimate() {
        Upstream slow = engine("slow", 1);
        Upstream fast = engine("fast", 1);
        for (int i = 0; i < 20; i++) {
            firstEvents(slow, 120, 1);
            firstEvents(fast, 40, 1);
        }
        assertThat(slow.slowness(nowMillis)).isGreaterThan(1.2);
        assertThat(engine("slow", 2).slowness(nowMillis)).isEqualTo(1.0);
    }

    // Guards against long prompts that make their engine look slow.
    @Test
    void promptsAreComparedWithPromptsOfSimilarLength() {
        Upstream longPrompts = engine("long", 1);
        Upstream shortPrompts = engine("short", 1);
        for (int i = 0; i < 30; i++) {
            nowMillis += 100;
            selector.recordFirstEvent(longPrompts, 20_000, 400, nowMillis);
            selector.recordFirstEvent(shortPrompts, 500, 15, nowMillis);
        }
        assertThat(longPrompts.slowness(nowMillis)).isWithin(0.01).of(1);
        assertThat(shortPrompts.slowness(nowMillis)).isWithin(0.01).of(1);
    }

    @Test
    void onlyTheFirstRendezvousChoiceIsTakenToHaveThePrefixCached() {
        engine("e0", 1);
        engine("e1", 1);
        Prompt prompt = prompt("p", 2_000, 300);
        Upstream chosen = select(prompt);
        List<Upstream> all = table.serving(SERVICE);
        assertThat(selector.unreadTokens(all, prompt, chosen, nowMillis)).isEqualTo(300);
        Upstream other = all.get(all.get(0) == chosen ? 1 : 0);
        assertThat(selector.unreadTokens(all, prompt, other, nowMillis)).isEqualTo(2_300);
    }

    // Guards against a prompt behind the queue of an engine that reports it.
    @Test
    void aLongPromptAvoidsAnEngineThatReportsWaitingRequests() {
        Upstream first = engine("e0", 1);
        Upstream second = engine("e1", 1);
        assertThat(select(unshared(500))).isSameInstanceAs(first);
        report(first, new ReportedLoad(24, 8, SLOTS, 1));
        assertThat(select(unshared(500))).isSameInstanceAs(second);
        nowMillis += LoadReports.LIFETIME_MILLIS;
        assertThat(select(unshared(500))).isSameInstanceAs(first);
    }

    @Test
    void aLongPromptAvoidsAnEngineThatReportsToBeSlowNow() {
        Upstream first = engine("e0", 1);
        Upstream second = engine("e1", 1);
        report(first, new ReportedLoad(0, 0, SLOTS, 2.5));
        assertThat(select(unshared(6_000))).isSameInstanceAs(second);
    }

    // Guards against the report of a process that has ended.
    @Test
    void aRestartUnderTheSameIdDiscardsTheReportedLoad() {
        Upstream first = engine("e0", 1);
        report(first, new ReportedLoad(24, 8, SLOTS, 2.5));
        Upstream restarted = engine("e0", 2);
        assertThat(restarted.reportedSlowness(nowMillis)).isEqualTo(1.0);
        assertThat(restarted.reportedWaiting(nowMillis)).isEqualTo(0.0);
    }

    @Test
    void aPlainCallAvoidsAnUpstreamThatReportsToBeSlowOrFull() {
        Upstream first = engine("p0", 1);
        Upstream second = engine("p1", 1);
        for (ReportedLoad load :
                List.of(new ReportedLoad(0, 0, 6, 2.5), new ReportedLoad(24, 12, 6, 1))) {
            assertThat(selectPlain()).isSameInstanceAs(first);
            report(first, load);
            assertThat(selectPlain()).isSameInstanceAs(second);
            nowMillis += LoadReports.LIFETIME_MILLIS;
        }
        assertThat(selectPlain()).isSameInstanceAs(first);
    }

    // Guards against plain calls that queue at an upstream which other routers have filled.
    @Test
    void aPlainCallAvoidsAnUpstreamThatOtherRoutersHaveFilled() {
        Upstream first = engine("p0", 1);
        Upstream second = engine("p1", 1);
        assertThat(selectPlain()).isSameInstanceAs(first);
        for (int i = 0; i < 4; i++) {
            selector.others().beginReport(15, nowMillis);
            selector.others().add(first.loadKey(), 1, 0, nowMillis);
        }
        assertThat(selectPlain()).isSameInstanceAs(second);
    }

    private Upstream selectPlain() {
        return UpstreamSelector.selectForService(
                        table.serving(SERVICE), Set.of(), DOMAIN, selector.others(), nowMillis)
                .orElseThrow();
    }

    private void report(Upstream upstream, ReportedLoad load) {
        table.announcements()
                .announced(
                        upstream.entry(),
                        new Announcement(
                                Announcement.Origin.GOOD,
                                AnnouncedLimit.NONE,
                                false,
                                OptionalLong.empty(),
                                Optional.of(load)),
                        nowMillis,
                        nowMillis);
    }
}
