package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bronzewheel.policy.StageRequest;

/** A request in progress at a router. */
final class Running {
    final Request request;
    final List<Attempt> open = new ArrayList<>();
    final Set<String> tried = new HashSet<>();
    int stageIndex;
    int attempts;
    StageRequest stage;
    boolean ended;

    Running(Request request) {
        this.request = request;
    }
}
