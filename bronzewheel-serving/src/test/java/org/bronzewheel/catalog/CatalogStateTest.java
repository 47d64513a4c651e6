package org.bronzewheel.catalog;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class CatalogStateTest {
    private final CatalogState state = new CatalogState(1_000);

    private static Catalog version(long version) {
        return version(version, CallerAccess.anyCaller());
    }

    private static Catalog version(long version, CallerAccess access) {
        return new Catalog(version, List.of(), List.of(), access, new CallerLimits(1, 1, 1, 1));
    }

    @Test
    void onlyANewerVersionIsApplied() {
        assertThat(state.applyIfNewer(version(5))).isTrue();
        assertThat(state.applyIfNewer(version(4))).isFalse();
        assertThat(state.applyIfNewer(version(5))).isFalse();
        assertThat(state.current().get().version()).isEqualTo(5);
    }

    @Test
    void theSameVersionIsAppliedOnceItTellsHowCallersAreAdmitted() {
        state.applyIfNewer(version(5, CallerAccess.unknown()));
        assertThat(state.applyIfNewer(version(5, CallerAccess.unknown()))).isFalse();
        assertThat(state.applyIfNewer(version(4))).isFalse();
        assertThat(state.applyIfNewer(version(5))).isTrue();
        assertThat(state.applyIfNewer(version(5, CallerAccess.unknown()))).isFalse();
        assertThat(state.current().get().access()).isEqualTo(CallerAccess.anyCaller());
    }

    @Test
    void confirmationOfANewerVersionDoesNotConfirmTheCurrentOne() {
        state.applyIfNewer(version(5));
        state.confirm(6, new ClockReading(0, 0));
        assertThat(state.acceptsKeys(new ClockReading(0, 0))).isFalse();
    }

    @Test
    void ageIsTheLargerOfBothClocks() {
        state.applyIfNewer(version(5));
        state.confirm(5, new ClockReading(0, 0));
        assertThat(state.acceptsKeys(new ClockReading(1_000, 1_000))).isTrue();
        // The monotonic clock stopped while the machine was suspended.
        assertThat(state.acceptsKeys(new ClockReading(100, 1_001))).isFalse();
        // The wall clock was set back.
        assertThat(state.acceptsKeys(new ClockReading(1_001, -5_000))).isFalse();
    }

    @Test
    void olderConfirmationDoesNotReplaceANewerOne() {
        state.applyIfNewer(version(5));
        state.confirm(5, new ClockReading(900, 900));
        state.confirm(5, new ClockReading(100, 100));
        assertThat(state.ageMillis(new ClockReading(1_000, 1_000))).isEqualTo(100);
    }
}
