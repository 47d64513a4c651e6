package org.bronzewheel.hedging;

/** A budget of extra cost: a part of the cost of regular calls, saved up to a bound. */
public final class ExtraCostBudget {
    private static final double PERCENT = 100;

    private final int extraCostPercent;
    private final double maxSaved;
    private double saved;

    /**
     * Creates a budget with half of its bound saved.
     *
     * @param extraCostPercent the part of regular cost that extra calls may add, in percent
     * @param maxSaved the bound of what is saved, in worker nanoseconds
     */
    public ExtraCostBudget(int extraCostPercent, double maxSaved) {
        this.extraCostPercent = extraCostPercent;
        this.maxSaved = maxSaved;
        this.saved = extraCostPercent == 0 ? 0 : maxSaved / 2;
    }

    /**
     * Books the cost of a regular call.
     *
     * @param cost in worker nanoseconds
     */
    public void deposit(double cost) {
        saved = Math.min(maxSaved, saved + cost * extraCostPercent / PERCENT);
    }

    /**
     * Takes the cost of an extra call where it is saved.
     *
     * @param cost in worker nanoseconds
     * @return whether the extra call may be made
     */
    public boolean tryWithdraw(double cost) {
        if (saved < cost) {
            return false;
        }
        saved -= cost;
        return true;
    }

    /**
     * Gives back what an extra call did not use.
     *
     * @param cost in worker nanoseconds
     */
    public void refund(double cost) {
        saved = Math.min(maxSaved, saved + cost);
    }
}
