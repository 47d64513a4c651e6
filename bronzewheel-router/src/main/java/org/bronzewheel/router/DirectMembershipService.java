package org.bronzewheel.router;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.membership.Member;
import org.bronzewheel.membership.MemberHealth;
import org.bronzewheel.membership.MembershipService;
import org.bronzewheel.membership.MembershipView;
import org.bronzewheel.membership.VmListReader;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.vm.VmState;

/** A membership that is the published VM list alone, read directly. */
final class DirectMembershipService implements MembershipService {
    private static final long WAIT_MILLIS = 20_000;
    private static final long RETRY_MILLIS = 200;

    private final VmListReader reader;
    private final BehaviorProcessor<MembershipView> views =
            BehaviorProcessor.createDefault(MembershipView.EMPTY);
    private Disposable watch = Disposable.disposed();

    DirectMembershipService(VmListReader reader) {
        this.reader = reader;
    }

    @Override
    public void start() {
        watch =
                io.reactivex.rxjava3.core.Maybe.defer(
                                () -> reader.read(current().list().revision(), WAIT_MILLIS))
                        .doOnSuccess(list -> views.onNext(view(list)))
                        .retryWhen(e -> e.delay(RETRY_MILLIS, TimeUnit.MILLISECONDS))
                        .repeat()
                        .subscribe();
    }

    private static MembershipView view(VmList list) {
        List<Member> members =
                list.routers().stream()
                        .map(
                                vm ->
                                        new Member(
                                                vm,
                                                vm.state() == VmState.LIVE
                                                        ? MemberHealth.ALIVE
                                                        : MemberHealth.LEAVING,
                                                0,
                                                0,
                                                0))
                        .toList();
        return new MembershipView(list, members);
    }

    @Override
    public void stop() {
        watch.dispose();
    }

    @Override
    public MembershipView current() {
        return views.getValue();
    }

    @Override
    public Flowable<MembershipView> changes() {
        return views.onBackpressureLatest();
    }

    @Override
    public void announceLeaving() {}
}
